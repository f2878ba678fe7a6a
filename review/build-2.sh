#!/usr/bin/env bash
# Prepares the stand-ins that the scripts of cases 6 to 10 start. They are Python: the
# build of deploy/system.toml has put all that they import under target/deps, so that
# there is nothing to fetch; this checks that everything can be imported.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:src:.:review/shared-2 python3 - <<'PYTHON'
import crashing, harness, manifest, standins.layer_runner, standins.metadata_store  # noqa: E401,F401
print("the stand-ins of the review can be started")
PYTHON
