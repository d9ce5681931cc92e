#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
for folder in review/1[1-5]/testdata; do
	[ -d "$folder" ] || continue
	go build -o "target/review-3/case-$(basename "$(dirname "$folder")")" "./$folder"
done
