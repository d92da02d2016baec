#!/bin/sh
# Exits with 1 if a request that was smuggled inside another one ran, 0 if none did, and 2 if
# the case could not run. TROUBLE=0 sends the same with a length.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
exec java -Xmx256m -cp review/target Case3 "$here/record.txt"
