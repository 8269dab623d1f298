#!/usr/bin/env bash
# Builds the stand-ins of the cases: one program without dependencies, outside the workspace.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
cd rig
GOWORK=off go build -o ../bin/rig .
