#!/bin/bash
# Checks that each package of src includes only packages that the table in docs/architecture.md allows it.
#
# The table is the block between "```dependencies" and "```" there: a line "PACKAGE: ALLOWED ..." for each folder
# of src, lowest first. A package may include itself and what its line names; a name must stand on an earlier line,
# so that there are no cycles.
set -euo pipefail
cd "$(dirname "$0")/.."

table=$(sed -n '/^```dependencies$/,/^```$/p' docs/architecture.md | sed '/^```/d')
if [ -z "$table" ]; then
    echo "docs/architecture.md: no table of dependencies" >&2
    exit 1
fi
includes=$(grep -rnE --include='*.h' --include='*.cpp' '^[[:space:]]*#[[:space:]]*include[[:space:]]*"' src || true)
folders=$(find src -mindepth 1 -maxdepth 1 -type d -printf '%f\n' | sort)
{
    printf '%s\n' "$table" | sed 's/^/allow /'
    printf '%s\n' "$folders" | sed 's/^/folder /'
    printf '%s\n' "$includes" | sed 's/^/include /'
} | awk '
    function fail(text) { print text > "/dev/stderr"; failed = 1 }
    $1 == "allow" {
        package = $2
        if (!sub(/:$/, "", package)) { fail("docs/architecture.md: no package and colon in: " $0); next }
        for (i = 3; i <= NF; ++i) {
            if (!($i in listed)) fail("docs/architecture.md: " package " depends on " $i ", which is not on an earlier line")
            allowed[package, $i] = 1
        }
        listed[package] = 1
        allowed[package, package] = 1
    }
    $1 == "folder" {
        present[$2] = 1
        if (!($2 in listed)) fail("src/" $2 ": not in the table of docs/architecture.md")
    }
    $1 == "include" && NF > 1 {
        split($2, at, ":")
        split(at[1], path, "/")
        split($0, quoted, "\"")
        if (split(quoted[2], target, "/") < 2) { fail(at[1] ":" at[2] ": include by package, not \"" quoted[2] "\""); next }
        if (!((path[2], target[1]) in allowed))
            fail(at[1] ":" at[2] ": package " path[2] " may not include " quoted[2] " (docs/architecture.md)")
    }
    END {
        for (package in listed) if (!(package in present)) fail("docs/architecture.md: there is no src/" package)
        exit failed
    }'
