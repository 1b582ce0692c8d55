#!/usr/bin/env bash
# Compiles the cases of the second review and their stand-ins into target/review-2. It needs a JDK 17 and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
find review/lib-2 review/[0-9]*/src -name '*.java' 2>/dev/null | sort |
  xargs javac -Xlint:all -Xlint:-serial -d target/review-2
