#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/review-3 review/third/main.rs
