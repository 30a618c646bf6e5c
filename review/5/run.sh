#!/bin/bash
# Exit code 1: requests reached a backend later than the drain bound after its entry was removed.
cd "$(dirname "$0")/../.." || exit 2
exec java -cp target/review review.StalePage review/5/record.txt
