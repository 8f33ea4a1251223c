#!/usr/bin/env bash
# Builds the stand-ins and the judge that the scripts of the second review start, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/tool-2
