#!/bin/sh
# Exits with 1 if a caller got the failure of a worker as a success, 0 if none did, and 2 if
# the case could not run. TROUBLE=0 leaves the worker sound.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
exec java -Xmx256m -cp review/target Case2 "$here/record.txt"
