#!/bin/sh
# Builds the stand-ins of the second review, with the standard library alone.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p ../../.bin
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../.bin/standin-2 .
