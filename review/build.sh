#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the deploy file's build: the stand-ins of the platform, the operator, the
# servers and the clients, in one program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-lab ./review/lab
