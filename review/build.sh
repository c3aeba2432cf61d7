#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/. It needs no network once the project's own modules are there.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
