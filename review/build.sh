#!/bin/sh
# Builds the stand-ins that the cases start, after the build of the deploy file. They are no product, so they
# are written as tests are, and stay out of the default test run by their build tag.
set -e
cd "$(dirname "$0")/.."
go test -c -tags review -o target/review-stand ./review/stand
