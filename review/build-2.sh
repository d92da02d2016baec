#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the second review into review/standins-2/target.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
rm -rf target
mkdir -p target
find src -name '*.java' -print0 | xargs -0 javac --release 17 -d target
