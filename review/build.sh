#!/usr/bin/env bash
# Builds the stand-ins of the scripts, with the JDK on the path; run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac --release 17 -Xlint:all -d target/review review/lab/*.java
