#!/usr/bin/env bash
# Compiles the stand-ins of the cases and the project's own, and checks that they start.
# Needs what the build line of deploy/system.toml puts into target/deps; no network.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:src:.
python3 -m compileall -q review standins src/heathershunt
python3 - <<'PY'
import review.common.crashes, review.common.doors, review.common.site  # noqa: E401, F401

print("stand-ins built")
PY
