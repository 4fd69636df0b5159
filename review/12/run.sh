#!/usr/bin/env bash
# Entry instances get SIGTERM in turn while clients run statements of 2.0 to 2.8 s. Takes about 65 s.
cd "$(dirname "$0")/../.." && exec target/review-3/standin planned-stop review/12
