#!/bin/bash
# The version in production that deploy/service.toml names, the dependencies between packages and the names in the
# docs (tools/), and the formatter and the linter, as .clang-format and .clang-tidy say, over src and tests. Any
# deviation or finding fails.
#
# Needs clang-format and clang-tidy 14 (Debian 12) and what the build and the tests need. CHECK_JOBS limits how many
# files are linted at a time (all processors otherwise).
set -euo pipefail
cd "$(dirname "$0")"
jobs=${CHECK_JOBS:-$(nproc)}

echo "production"
production=$(sed -n 's/^production = "\(.*\)"$/\1/p' deploy/service.toml)
if ! [[ "$production" =~ ^[0-9a-f]{40}$ ]]; then
    echo "deploy/service.toml: production must be a full commit hash" >&2
    exit 1
fi
# A checkout without the history can tell no more than that.
if git rev-parse --git-dir >/dev/null 2>&1 && [ "$(git rev-parse --is-shallow-repository)" = false ]; then
    if ! git merge-base --is-ancestor "$production" HEAD || ! git cat-file -e "$production:src"; then
        echo "deploy/service.toml: production is no earlier version of this program" >&2
        exit 1
    fi
fi

echo "dependencies between packages"
tools/check_includes.sh
echo "names in the docs"
tools/check_doc_names.sh

echo "clang-format"
find src tests \( -name '*.h' -o -name '*.cpp' \) -print0 | sort -z | xargs -0 clang-format --dry-run --Werror

echo "clang-tidy"
cmake -S . -B target/lint -DCMAKE_BUILD_TYPE=Release -DCMAKE_EXPORT_COMPILE_COMMANDS=ON >/dev/null
# Prints nothing about files without findings, which clang-tidy itself would. The tests are compiled with options for
# GCC's warnings that clang does not know.
lint() {
    local output
    if ! output=$(clang-tidy -p target/lint --quiet --extra-arg=-Wno-unknown-warning-option "$1" 2>&1); then
        printf '%s\n' "$output"
        return 1
    fi
}
export -f lint
find src tests -name '*.cpp' -print0 | sort -z | xargs -0 -n 1 -P "$jobs" bash -c 'lint "$1"' lint
echo "no findings"
