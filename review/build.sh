#!/usr/bin/env bash
# Builds the stand-ins and the cases into target/review. Run after the build line of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -encoding UTF-8 -d target/review review/lib/*.java review/[0-9]*/*.java
