#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8: one program with no packages but the standard library. The controllers come
# from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig review/rig-2/main.rs
