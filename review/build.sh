#!/usr/bin/env bash
# Builds the stand-ins and the cases. The relay itself is built by the deploy file's command.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=0 go build -buildvcs=false -o bin/review-cases ./review/cases
