#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. The programs of the
# project are built by the line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-standin3 ./review/_standin3
