#!/bin/sh
# Builds the stand-ins that the scripts of the cases start.
set -e
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target
javac -d review/target review/standins/*.java review/*/*.java
