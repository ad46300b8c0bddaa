#!/usr/bin/env bash
# The stand-ins under `stage/` are Python and need no compiler; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import stage.stage'
