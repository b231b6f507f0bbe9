#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start, into target/review-3.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-3"
for name in cold drill lost marks relay; do
    rustc --edition 2024 -O -o "$root/target/review-3/$name" "$root/review/standins-3/$name.rs"
done
