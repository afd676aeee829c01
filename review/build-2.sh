#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, with any JDK from 17 on.
set -euo pipefail
cd "$(dirname "$0")/.."
compiler="${JAVA_HOME:+$JAVA_HOME/bin/javac}"
if [ -z "$compiler" ] || [ ! -x "$compiler" ]; then
  compiler="$(command -v javac || true)"
fi
if [ -z "$compiler" ]; then
  # The JDK that runs Maven.
  compiler="$(mvn -v | sed -n 's/.*runtime: //p')/bin/javac"
fi
mkdir -p target/review-2
"$compiler" --release 17 -Xlint -d target/review-2 review/lab-2/*.java
