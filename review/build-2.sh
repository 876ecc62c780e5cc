#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into target/. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-buildvcs=false GOPROXY=off go build -o ../../target/review-2/standin-2 .
