#!/bin/sh
# Builds the stand-ins of the cases into target/review/. Run it after the build of the deploy file, at any place.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/_tools/*/main.go; do
	folder=$(dirname "$main")
	go build -buildvcs=false -o "target/review/$(basename "$folder")" "./$folder"
done
