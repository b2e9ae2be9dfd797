#!/bin/bash
# Checks what the scripts of this review need. Their stand-ins are Python
# programs in review/lib-2, so nothing is compiled here; the hosts come from
# the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX=$cache python3 -m compileall -q lib-2 [0-9]*
