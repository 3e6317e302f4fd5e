#!/bin/sh
# Builds the stand-ins and the checks of all cases, without a network.
set -e
cd "$(dirname "$0")/bench"
cargo build --release --locked --offline
