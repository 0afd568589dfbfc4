#!/bin/sh
# Builds the stand-ins of the review into target/. They use the standard library only.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOFLAGS= GOWORK=off go build -o ../../target/review-standin .
