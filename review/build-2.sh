#!/bin/sh
# Builds the stand-ins of the second review's cases, from the root of the repository, beside the programs of the deploy file.
set -e
cd "$(dirname "$0")/.."
go test -c -tags review -o target/stand-2 ./review/stand-2
