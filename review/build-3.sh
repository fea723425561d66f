#!/bin/sh
# Builds the program that plays the scripts of review/11 and review/12, with the stand-ins that they start, into target/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -buildvcs=false -o target/review-3/case ./review/_tools-3/case
