#!/bin/bash
# Checks that README.md and docs/*.md name no identifier that is gone.
#
# Every text in single backquotes that looks like C++ (it contains "::", or is CamelCase with two humps or more, or
# ends in "()") must be found in src or tests: of a qualified name, each part as a whole word. Names of earlier
# versions are excepted between the lines "<!-- old names -->" and "<!-- end of old names -->", for tables that tell
# what became of them; and blocks fenced by ``` are not looked at.
set -euo pipefail
cd "$(dirname "$0")/.."

words=$(find src tests \( -name '*.h' -o -name '*.cpp' \) -print0 | xargs -0 grep -ohE '[A-Za-z_][A-Za-z0-9_]*' | sort -u)
for page in README.md docs/*.md; do
    awk -v page="$page" '
        FNR == NR { known[$0] = 1; next }
        /^<!-- old names -->$/ { if (old) fail(FNR ": old names within old names"); old = 1; next }
        /^<!-- end of old names -->$/ { old = 0; next }
        /^ *```/ { fenced = !fenced; next }
        fenced || old { next }
        function fail(text) { print page ":" text > "/dev/stderr"; failed = 1 }
        {
            count = split($0, spans, "`")
            for (i = 2; i < count; i += 2) {
                name = spans[i]
                if (name !~ /^~?[A-Za-z_][A-Za-z0-9_]*((::|\.|->)~?[A-Za-z_][A-Za-z0-9_]*)*(\(.*\))?$/) continue
                is_cpp = name ~ /::/ || name ~ /\(.*\)$/ || name ~ /^[A-Z][a-z0-9]+([A-Z][a-z0-9]*)+/
                if (!is_cpp) continue
                sub(/\(.*$/, "", name)
                parts = split(name, part, /::|\.|->/)
                for (p = 1; p <= parts; ++p) {
                    sub(/^~/, "", part[p])
                    if (!(part[p] in known))
                        fail(FNR ": `" spans[i] "`: there is no " part[p] " in src or tests")
                }
            }
        }
        END { if (old || fenced) fail(" a block is not closed"); exit failed }
    ' <(printf '%s\n' "$words") "$page" || failed=1
done
exit "${failed:-0}"
