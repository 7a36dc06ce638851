#!/bin/sh
# Builds the stand-ins that the cases start, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/stand
