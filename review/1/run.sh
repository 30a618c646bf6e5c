#!/bin/bash
# Exit code 1: a backend ran a request with another body than its client sent.
cd "$(dirname "$0")/../.." || exit 2
exec java -cp target/review review.BodyThroughPeer review/1/record.txt
