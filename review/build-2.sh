#!/bin/sh
# Builds the stand-ins of cases 4 to 8, one program without dependencies. The controllers are built by
# the deploy file's build.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
cargo build --release --locked --offline --manifest-path review/rig/Cargo.toml --target-dir target/review-2
