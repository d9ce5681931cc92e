#!/bin/bash
# Builds the stand-ins and clients of the second review's scripts.
set -e
cd "$(dirname "$0")/.."
for n in 6 7 8 9 10; do
  if [ -f "review/$n/main.go" ]; then
    go build -tags review2 -o "target/review-$n" "./review/$n"
  fi
done
