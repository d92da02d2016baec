#!/bin/sh
# Exits with 1 if SIGHUP ended each of two entries three times, 0 if not, and 2 if
# the case could not run. TROUBLE=0 sends no SIGHUP.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
exec java -Xmx256m -cp review/target Case3 "$here/record.txt"
