#!/usr/bin/env bash
# Three entry hosts that are killed together, workers of two software versions, and a store that returns from a copy.
# Exits with 1 if streams hold events of two versions, 0 if not, 2 if the case could not run. TROUBLE=0: no kill and no copy.
cd "$(dirname "$0")/../.." || exit 2
program=target/sesamed
play=target/review-3/case-13
[ -x "$program" ] && [ -x "$play" ] || exit 2
folder="$(mktemp -d)" || exit 2
[ -n "${KEEP:-}" ] || trap 'rm -rf "$folder"' EXIT
export SESAMEHILL_BOOT="$folder/settings.toml"
"$play" "$program" review/13 "$folder" SESAMEHILL_BOOT
