#!/usr/bin/env bash
# The three control instances are replaced one after the other under storms of configurations. Takes about 90 s.
cd "$(dirname "$0")/../.." && exec target/review-3/standin replaced-control review/13
