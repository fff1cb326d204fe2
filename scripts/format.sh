#!/usr/bin/env bash
# Formats the C++ sources; with --check, only reports files that are not
# formatted and fails.
set -eu
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run -Werror)
git ls-files -co --exclude-standard '*.cpp' '*.hpp' |
    while read -r f; do [ -f "$f" ] && echo "$f"; done |
    xargs -r -P "$(nproc)" -n 8 clang-format "${mode[@]}"
