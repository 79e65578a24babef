#!/bin/sh
# Builds the stand-ins of the cases in review/6 to review/10. The deploy file's build comes first.
set -eu
cd "$(dirname "$0")/stand-2"
mkdir -p ../../bin/review-2
GOFLAGS=-mod=mod GOWORK=off GOPROXY=off go build -buildvcs=false -o ../../bin/review-2/stand .
