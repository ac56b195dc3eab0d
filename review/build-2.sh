#!/bin/sh
# Builds every stand-in that the scripts of the second review start, into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand-ins-2/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = kit ] && continue
    rustc --edition 2024 -O -A dead_code -o "target/review-2/$name" "$source"
done
