#!/bin/bash
# Compares the behaviour of the working tree with that of an earlier commit: for any refactoring that must change none.
# Both builds play the same seeded scenarios on a simulated clock (tests/behaviour/), and every message that the
# controllers send or receive, and every write of the state service, must be the same, in the same order and at the same
# time. At a difference it prints the scenario, the time and the first line of each side that differs, and fails.
#
# usage: tests/compare_behaviour.sh BASE_COMMIT
#
# It is no part of CI: a commit that means to change behaviour differs here, and rightly. Outside of what is compared:
# the names of log events and counters, and /internal/status. The scenarios of both sides must be the same, so BASE_COMMIT
# must have them too; a commit that changes them is compared by what else it changes, in two steps.
#
# COMPARE_JOBS: how many processes build and run at a time (default: all processors). The build of BASE_COMMIT is kept
# under target/compare/ and used again.
set -euo pipefail
if [ $# -ne 1 ]; then
    echo "usage: tests/compare_behaviour.sh BASE_COMMIT" >&2
    exit 2
fi
cd "$(dirname "$0")/.."
root=$PWD
jobs=${COMPARE_JOBS:-$(nproc)}
base=$(git rev-parse --verify --quiet "$1^{commit}") || {
    echo "no such commit: $1" >&2
    exit 2
}
compare=$root/target/compare
base_build=$compare/$base
base_source=$compare/source-$base
mkdir -p "$compare"

remove_source() {
    if [ -e "$base_source" ]; then
        git worktree remove --force "$base_source"
    fi
}
trap remove_source EXIT

# build SOURCE DIRECTORY
build() {
    if ! { cmake -S "$1" -B "$2" -DCMAKE_BUILD_TYPE=Release &&
        cmake --build "$2" -j"$jobs" --target behaviour_trace; } >"$2.log" 2>&1; then
        tail -n 30 "$2.log" >&2
        echo "no behaviour_trace of $1 could be built" >&2
        exit 1
    fi
}

# The mark is set once the program is complete.
if [ ! -e "$base_build/complete" ]; then
    remove_source
    rm -rf "$base_build"
    git worktree add --quiet --detach "$base_source" "$base"
    build "$base_source" "$base_build"
    touch "$base_build/complete"
fi
build "$root" "$compare/working"

base_traces=$compare/traces-base
working_traces=$compare/traces-working
rm -rf "$base_traces" "$working_traces"
mkdir -p "$base_traces" "$working_traces"
"$base_build/behaviour_trace" --list >"$compare/list-base"
"$compare/working/behaviour_trace" --list >"$compare/list-working"
if ! diff "$compare/list-base" "$compare/list-working" >&2; then
    echo "the two sides have different scenarios" >&2
    exit 1
fi
if [ ! -s "$compare/list-base" ]; then
    echo "there are no scenarios" >&2
    exit 1
fi
while read -r name; do
    printf '%s\0%s\0%s\0' "$base_build/behaviour_trace" "$base_traces" "$name"
    printf '%s\0%s\0%s\0' "$compare/working/behaviour_trace" "$working_traces" "$name"
done <"$compare/list-base" | xargs -0 -n 3 -P "$jobs" sh -c '"$0" "$1" "$2" >/dev/null' || {
    echo "a scenario failed" >&2
    exit 1
}

# Prints the first difference of two traces: the time of whichever side is earlier, and both lines.
show_difference() {
    local number old new
    number=$({ cmp "$1" "$2" 2>/dev/null || true; } | sed -n 's/.*line \([0-9]*\)$/\1/p')
    # One is the beginning of the other.
    if [ -z "$number" ]; then
        number=$(($({ wc -l <"$1"; wc -l <"$2"; } | sort -n | sed -n 1p) + 1))
    fi
    old=$(sed -n "${number}p" "$1")
    new=$(sed -n "${number}p" "$2")
    echo "$3 differs at $(printf '%s\n%s\n' "$old" "$new" | cut -f 1 | grep . | sort -g | sed -n 1p) s (line $number)"
    echo "  base:    ${old:-(ends)}"
    echo "  working: ${new:-(ends)}"
}

scenarios=0
messages=0
differ=0
while read -r name; do
    old=$base_traces/$name.trace
    new=$working_traces/$name.trace
    if [ ! -s "$old" ] || [ ! -s "$new" ]; then
        echo "$name: a trace is missing or empty"
        differ=1
        continue
    fi
    if ! cmp -s "$old" "$new"; then
        show_difference "$old" "$new" "$name"
        differ=1
        continue
    fi
    scenarios=$((scenarios + 1))
    messages=$((messages + $(wc -l <"$new")))
done <"$compare/list-base"
if [ "$differ" -ne 0 ]; then
    exit 1
fi
echo "$scenarios scenarios alike, $messages messages"
