#!/usr/bin/env bash
# Seven entry hosts, four engines, and a store that turns lease holders away and returns from a copy.
# Exits with 1 if orders break the rule ONE, 0 if not, 2 if the case could not run. TROUBLE=0: a calm store.
cd "$(dirname "$0")/../.." || exit 2
program=target/sesamed
play=target/review-3/case-12
[ -x "$program" ] && [ -x "$play" ] || exit 2
folder="$(mktemp -d)" || exit 2
[ -n "${KEEP:-}" ] || trap 'rm -rf "$folder"' EXIT
export SESAMEHILL_BOOT="$folder/settings.toml"
"$play" "$program" review/12 "$folder" SESAMEHILL_BOOT
