#!/bin/sh
# Builds the stand-ins of review/4 to review/6. Run it at the root of the repository, after the build of
# deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review -o target/review-2/rig-2 ./review/rig-2
