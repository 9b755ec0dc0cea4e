#!/usr/bin/env bash
# Builds the stand-ins and the driver of the scripted cases.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/rig ./review/rig
