#!/usr/bin/env bash
# Builds the stand-ins that the script of case 11 starts, and the driver that starts them. The programs of the project itself are built by the
# deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-stand3 ./review/stand3
