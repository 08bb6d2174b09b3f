#!/bin/bash
# Builds the program that runs the scripts of cases 4 and later, stand-ins included, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/harness-2 ./review/harness-2
