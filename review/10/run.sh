#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
scratch=$(mktemp -d)
PYTHONDONTWRITEBYTECODE=1 timeout -k 5 110 python3 "$here/case.py" "$here" "$scratch"
code=$?
rm -rf "$scratch"
case $code in 10) exit 1 ;; 0) exit 0 ;; *) exit 2 ;; esac
