#!/bin/bash
# All tests, in a release build and in one with AddressSanitizer and UndefinedBehaviorSanitizer.
set -euo pipefail
cd "$(dirname "$0")"
cmake -S . -B target/tests -DCMAKE_BUILD_TYPE=Release
cmake --build target/tests -j"$(nproc)"
cmake -S . -B target/asan -DCMAKE_BUILD_TYPE=RelWithDebInfo -DZINCDYKE_SANITIZE=ON
cmake --build target/asan -j"$(nproc)"
ctest --test-dir target/asan --output-on-failure -j"$(nproc)" --timeout 600
ctest --test-dir target/tests --output-on-failure -j"$(nproc)" --timeout 300
