#!/bin/sh
# Builds what the scripts of the cases 11 to 15 start besides the host: the stand-ins in
# review/stand-3. It needs what the build of the deploy file needs, and no network after that.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review/stand-3 ./review/stand-3
