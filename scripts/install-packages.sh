#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks need, if
# any of them is missing.
set -eu
cd "$(dirname "$0")/.."
mapfile -t names < scripts/packages.txt
if dpkg -s "${names[@]}" >/dev/null 2>&1; then
    exit 0
fi
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
    --no-install-recommends "${names[@]}" >/dev/null
