#!/usr/bin/env bash
# Builds every stand-in that the scripts of the second review start.
set -euo pipefail
cd "$(dirname "$0")/.."
for n in 6 7 8 9 10; do
	if [ -f "review/$n/main.go" ]; then
		go build -o "target/review-$n" "./review/$n"
	fi
done
