#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/runtime/bin/java ] || [ ! -f target/review-2/EndlessBody.class ]; then
  echo "build first: the deploy file's build, then review/build-2.sh" >&2
  exit 2
fi
exec target/runtime/bin/java -Xmx256m -cp target/review-2 EndlessBody review/7/record.txt
