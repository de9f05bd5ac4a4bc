#!/usr/bin/env bash
# Builds the stand-ins and the cases 6 to 10 of the second review into target/review-2; needs a JDK 17 and nothing else.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac --release 17 -Xlint:all -d target/review-2 review/standins-2/*.java $(find review/6 review/7 review/8 review/9 review/10 -name '*.java' 2>/dev/null)
