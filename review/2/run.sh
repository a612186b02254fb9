#!/bin/sh
command -v python3 > /dev/null || exit 2
exec python3 -B "$(dirname "$0")/case.py"
