#!/bin/sh
# Checks formatting, vets, builds and tests. Needs Go only.
set -eu
cd "$(dirname "$0")"
unformatted=$(find . -name '*.go' -not -path './journal/*' -exec gofmt -l {} +)
if [ -n "$unformatted" ]; then
	echo "gofmt: $unformatted" >&2
	exit 1
fi
go vet ./...
mkdir -p bin
go build -o bin/ ./cmd/...
go test -race -count=1 -timeout 5m ./...
