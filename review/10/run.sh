#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
program="target/review-2/case-$(basename "$folder")"
[ -x "$program" ] && [ -x target/release/bluebellmux ] || { echo "not built"; exit 2; }
exec "$program" "$folder/record.txt"
