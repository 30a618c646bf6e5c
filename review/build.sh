#!/bin/bash
# Builds the stand-ins and the clients of the cases from review/standins with the JDK alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review review/standins/review/*.java
