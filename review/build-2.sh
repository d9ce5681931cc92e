#!/bin/bash
# Builds the stand-ins and clients that the scripts of cases 6 to 10 start.
set -e
cd "$(dirname "$0")/.."
for n in 6 7 8 9 10; do
  if [ -f "review/$n/main.go" ]; then
    go build -tags review2 -o "target/review-$n" "./review/$n"
  fi
done
go build -tags review2 -o target/review-stand-3 ./review/stand-3
