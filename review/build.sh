#!/usr/bin/env bash
# Builds the stand-ins and the driver of the scripts, with the Rust toolchain alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/rig review/rig/main.rs
