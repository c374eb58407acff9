#!/usr/bin/env bash
# Builds the stand-ins of the cases: plain rustc and the standard library, no packages, no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review-cases review/standins/main.rs
