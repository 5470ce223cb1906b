#!/usr/bin/env bash
# The script ends itself before this limit; exit codes other than 0 and 1 mean that it could not run.
cd "$(dirname "$0")" || exit 2
timeout -k 3 116 python3 -B case.py
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
