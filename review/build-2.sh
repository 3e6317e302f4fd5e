#!/bin/sh
# Builds what the cases 6 to 10 start beside the programs of the deploy file: one program that depends on the
# standard library alone. Needs no network.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --offline --locked --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
