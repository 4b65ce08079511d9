#!/usr/bin/env bash
# Builds the stand-in that the scripts of review/6 to review/10 start. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/stand2 ./review/stand2
