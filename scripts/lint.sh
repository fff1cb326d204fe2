#!/usr/bin/env bash
# Runs clang-tidy on all sources, or on the files given as arguments.
set -eu
cd "$(dirname "$0")/.."
if [ "$#" -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files -co --exclude-standard 'packages/*.cpp' 'platform/*.cpp' 'tools/*.cpp')
fi
printf '%s\n' "${files[@]}" |
    xargs -r -P "${JOBS:-$(nproc)}" -n 1 \
        clang-tidy -p build --quiet --warnings-as-errors="*" 2>/dev/null
echo "lint: ${#files[@]} files clean"
