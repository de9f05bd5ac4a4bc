#!/usr/bin/env bash
# Builds the stand-ins and cases of the review. Needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/standins/*.java
