#!/usr/bin/env bash
# Runs every ```sh block of the given files, each in its own shell at the root
# of the project with a new $TMPDIR. Lines that .ci/run also holds, such as the
# test command, are skipped, because .ci/run runs them itself.
set -u
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
ran=0
failed=0
for file in "$@"; do
    rm -rf "$work"/block-*
    awk -v dir="$work" '
        /^```sh$/ { n++; out = sprintf("%s/block-%03d", dir, n); next }
        /^```$/ { out = "" }
        out != "" { print > out }' "$file"
    for block in "$work"/block-*; do
        [ -f "$block" ] || continue
        grep -vxFf .ci/run "$block" > "$block.run"
        grep -q '[^[:space:]]' "$block.run" || continue
        export TMPDIR="$block.tmp"
        mkdir "$TMPDIR"
        if bash -eu "$block.run" > "$block.out" 2>&1; then
            ran=$((ran + 1))
        else
            failed=$((failed + 1))
            echo "FAILED in $file:"
            cat "$block.run" "$block.out"
        fi
    done
done
echo "$ran blocks ran, $failed failed"
[ "$failed" -eq 0 ] && [ "$ran" -gt 0 ]
