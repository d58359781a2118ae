#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: compiles them, to find errors.
# They need nothing but Python and its standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common-2
