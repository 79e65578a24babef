#!/bin/sh
# Builds the stand-ins of all cases into review/bin. They need Go's standard library only, and no network.
set -eu
cd "$(dirname "$0")/stand"
mkdir -p ../bin
CGO_ENABLED=0 GOFLAGS=-mod=mod GOWORK=off GOTOOLCHAIN=local go build -buildvcs=false -o ../bin/ ./...
