#!/bin/sh
# Builds the stand-ins of the cases of the second review, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -C review/standins-2 -buildvcs=false -o ../../target/review-2/driver .
