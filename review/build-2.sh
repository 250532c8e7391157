#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 4 and above start. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin2 ./review/standin2
