#!/usr/bin/env bash
# Five databases with one synchronous replica; all databases of the primary's zone crash for 7 s. Takes about 26 s.
cd "$(dirname "$0")/../.." && exec target/review-3/standin synchronous-loss review/11
