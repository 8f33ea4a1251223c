#!/usr/bin/env bash
# Runs the fault matrix and prints its report: cells run, cells that the naive version breaks, cells that the product
# breaks. It ends with 1 when a cell of the product breaks.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -count=1 -timeout 20m -run '^TestMatrix' -v ./internal/faulter | grep -v '^ *\(---\|===\) '
