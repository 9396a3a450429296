#!/bin/sh
# Builds the stand-ins of the review's scripts. They use the standard library only.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS= go build -o ../../target/review-standin .
