#!/bin/sh
# Builds the stand-ins that the scripts of cases 11 to 15 start. Needs only the Rust compiler, and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O review/standin-3/main.rs -o target/review-3/review-3
