#!/usr/bin/env bash
# Builds what the scripts of the review start besides the product: the project's stand-ins and the program that plays the cases.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-standin .
go build -o target/review ./review/tool
