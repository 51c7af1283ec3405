#!/bin/bash
# Builds the stand-ins and programs of the third review into target/review-3. Needs nothing that is not in review/rig-3.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/rig-3 -B target/review-3 >/dev/null
cmake --build target/review-3 -j "${JOBS:-4}" >/dev/null
