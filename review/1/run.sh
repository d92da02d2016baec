#!/bin/sh
# Exits with 1 if a caller got an answer that belongs to another request, 0 if none did, and 2 if
# the case could not run. TROUBLE=0 leaves the worker alive.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
exec java -Xmx256m -cp review/target Case1 "$here/record.txt"
