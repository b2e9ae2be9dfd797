#!/bin/bash
# Builds the stand-ins of the scripts. They are Python programs, also the
# project's own in test/soak, so this only compiles them, to a temporary folder.
set -euo pipefail
cd "$(dirname "$0")/.."
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX=$cache python3 -m py_compile \
	test/soak/standins.py review/*/*.py \
	review/more/*/*.py
