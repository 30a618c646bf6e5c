#!/bin/bash
# Builds the stand-ins and cases of this review into target/review-2; needs a JDK 17 only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/standins-2/*.java
