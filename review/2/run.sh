#!/bin/bash
# Exit code 1: entry VMs handled requests as only the older configuration allows.
cd "$(dirname "$0")/../.." || exit 2
exec java -cp target/review review.UnreadableEntry review/2/record.txt
