#!/bin/sh
# Builds the stand-ins that the scripts of review/4 and later start. Needs no network.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --offline --locked --manifest-path review/standin-2/Cargo.toml \
    --target-dir target/review-2
