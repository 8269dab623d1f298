#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start, beside the node that the deploy file's build line makes.
set -euo pipefail
cd "$(dirname "$0")/lab"
GOWORK=off go build -o ../../target/review-2/lab .
