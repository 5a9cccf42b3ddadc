#!/bin/sh
# Builds the stand-ins of the cases. It needs rustc only: no package, no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins review/main.rs
