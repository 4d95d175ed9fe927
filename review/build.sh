#!/usr/bin/env bash
# Builds every stand-in that a script of the review starts.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/cases/...
