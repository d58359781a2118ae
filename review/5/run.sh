#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
PYTHONPATH=review exec python3 "$here/case.py"
