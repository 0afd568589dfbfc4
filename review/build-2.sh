#!/bin/sh
# Builds the stand-ins of the second review into target/.
set -e
cd "$(dirname "$0")/.."
go build -tags review2 -ldflags=-linkmode=external -o target/review2/ ./review/standin2
