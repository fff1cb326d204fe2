#!/usr/bin/env bash
# Runs the demo with an example directory. The project must have been built.
# Usage: scripts/demo.sh [pall-cloth|ticket-office]
set -eu
cd "$(dirname "$0")/.."
exec build/tools/demo/demo-load --example "examples/${1:-pall-cloth}"
