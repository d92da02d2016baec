#!/bin/sh
# Builds the stand-ins that the scripts of the cases 11 to 15 start.
set -e
cd "$(dirname "$0")/.."
rm -rf review/standins-3/target
mkdir -p review/standins-3/target
javac -Xlint:all,-try -d review/standins-3/target $(find review/standins-3/src -name '*.java')
