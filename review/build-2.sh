#!/bin/sh
# Builds the stand-ins of the second review into target/. They use the standard library only.
set -e
cd "$(dirname "$0")/standin2"
mkdir -p ../../target/review2
GOFLAGS= GOWORK=off go build -o ../../target/review2/standin2 .
