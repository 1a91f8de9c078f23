#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. Needs only the Rust compiler, and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O review/standin-2/main.rs -o target/review-2/review-2
