#!/bin/bash
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/DirectoryCase.class ] && [ -d target/platform ] || exit 2
exec java -cp target/review-2 DirectoryCase review/9/record.txt
