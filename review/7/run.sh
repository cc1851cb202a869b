#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder="$(cd "$(dirname "$0")" && pwd)"
command -v python3 >/dev/null || exit 2
[ -x "$folder/../../target/release/jackdawchute" ] || exit 2
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$folder/../standins-2"
# What was sent, answered and run goes to record.txt in this folder.
exec python3 "$folder/scenario.py" "$folder/record.txt"
