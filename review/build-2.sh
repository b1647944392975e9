#!/bin/bash
# Builds the stand-ins and the cases of the second review into target/review-2, from the sources in review/lib-2 and the
# event loop and HTTP code that the build of deploy/service.toml left in target/libzincdyke_core.a.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -f target/libzincdyke_core.a ] || [ ! -x target/zincdyke ]; then
    echo "run the build of deploy/service.toml first" >&2
    exit 2
fi
mkdir -p target/review-2
flags=(-std=c++20 -O1 -Wall -Wextra -Isrc -Ireview/lib-2)
g++ "${flags[@]}" -c review/lib-2/rig.cpp -o target/review-2/rig.o &
g++ "${flags[@]}" -c review/lib-2/cases.cpp -o target/review-2/cases.o &
for job in $(jobs -p); do wait "$job"; done
g++ target/review-2/rig.o target/review-2/cases.o target/libzincdyke_core.a -lspdlog -lfmt -lhttp_parser -lxxhash -llua5.4 \
    -o target/review-2/cases
