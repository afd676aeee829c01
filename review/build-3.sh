#!/usr/bin/env bash
# Builds the stand-ins and tests of review/11 to review/15 into target/review-3. Needs a JDK 21 or
# newer, as the build of the deploy file does.
set -euo pipefail
cd "$(dirname "$0")/.."
compilers=("${JAVA_HOME:-none}/bin/javac" /usr/lib/jvm/*25*/bin/javac "$(command -v javac || true)")
for compiler in "${compilers[@]}"; do
  if [ -x "$compiler" ] && "$compiler" --release 21 -version >/dev/null 2>&1; then
    rm -rf target/review-3
    mkdir -p target/review-3
    "$compiler" --release 21 -d target/review-3 review/lab-3/*.java
    exit 0
  fi
done
echo "no javac of JDK 21 or newer found" >&2
exit 1
