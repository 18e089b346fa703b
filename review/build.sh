#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start.
set -euo pipefail
cd "$(dirname "$0")/trial"
GOWORK="$PWD/go.work" go build -o ../bin/trial .
