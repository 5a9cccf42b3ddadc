#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it
# runs without the disruption. Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/coltsfootweird ] && [ -x target/review-3/review-3 ] || exit 2
folder=$(mktemp -d) || exit 2
target/review-3/review-3 leave "$folder" "review/11/record.txt"
code=$?
rm -rf "$folder"
exit $code
