#!/bin/bash
# Builds the stand-ins and the cases of the review into build-review/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B build-review -DCMAKE_BUILD_TYPE=Release -DCMAKE_CXX_FLAGS_RELEASE=-O1
cmake --build build-review -j"${JOBS:-4}"
