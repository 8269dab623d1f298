#!/bin/sh
# Builds the stand-ins and clients of the cases 11 to 15. The deploy file's build line builds the node.
cd "$(dirname "$0")/rig3" || exit 1
GOWORK=off GOFLAGS=-mod=mod exec go build -o ../../target/review-rig3 .
