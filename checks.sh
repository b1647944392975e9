#!/bin/bash
# The formatter and the linter, as .clang-format and .clang-tidy say. Any deviation or finding fails.
#
# Needs clang-format and clang-tidy 14 (Debian 12) and what the build needs. CHECK_JOBS limits how many files
# are linted at a time (all processors otherwise).
set -euo pipefail
cd "$(dirname "$0")"
jobs=${CHECK_JOBS:-$(nproc)}

echo "clang-format"
find src tests \( -name '*.h' -o -name '*.cpp' \) -print0 | sort -z | xargs -0 clang-format --dry-run --Werror

echo "clang-tidy"
cmake -S . -B target/lint -DCMAKE_BUILD_TYPE=Release -DZINCDYKE_TESTS=OFF \
    -DCMAKE_EXPORT_COMPILE_COMMANDS=ON >/dev/null
# Prints nothing about files without findings, which clang-tidy itself would.
lint() {
    local output
    if ! output=$(clang-tidy -p target/lint --quiet "$1" 2>&1); then
        printf '%s\n' "$output"
        return 1
    fi
}
export -f lint
find src -name '*.cpp' -print0 | sort -z | xargs -0 -n 1 -P "$jobs" bash -c 'lint "$1"' lint
echo "no findings"
