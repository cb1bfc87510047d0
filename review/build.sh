#!/bin/sh
# Builds the stand-ins that the cases' scripts start. No dependency: the standard library alone.
set -e
cd "$(dirname "$0")/standins"
CARGO_TARGET_DIR=../../target/review cargo build --release --offline --locked
