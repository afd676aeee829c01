#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/runtime/bin/java -Xmx256m -cp target/review-2 HerdKill review/10/record.txt
