#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They use nothing but the standard library.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --offline --manifest-path review/stage-2/Cargo.toml --target-dir target/review-2
