#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review, after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -buildvcs=false -o target/review-2/cases ./review/_tools-2/cases
