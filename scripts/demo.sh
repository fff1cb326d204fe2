#!/usr/bin/env bash
# Runs the demo of an example directory, built before.
# Usage: scripts/demo.sh [pall-cloth|ticket-office]
set -eu
cd "$(dirname "$0")/.."
exec build/tools/demo/demo-load --example "examples/${1:-pall-cloth}"
