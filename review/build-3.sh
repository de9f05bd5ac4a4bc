#!/usr/bin/env bash
# Builds the stand-ins and cases of this review with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/harness-3"
mkdir -p target
javac -Xlint:all,-try -d target *.java
