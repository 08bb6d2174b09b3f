#!/bin/sh
# Builds the review's stand-ins (target/review/harness). The tier itself is built as deploy/system.toml says.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
CGO_ENABLED=1 go build -tags review -ldflags=-linkmode=external -o target/review/ ./review/harness
