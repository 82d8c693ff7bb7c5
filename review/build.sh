#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/_stand
