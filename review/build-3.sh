#!/bin/sh
# The stand-ins of review/11 to review/15 are Python and need no build; checks
# that this machine can run them. The hosts come from the deploy file's build.
set -e
cd "$(dirname "$0")"
for file in lib-3/*.py 1[1-5]/*.py; do
	test -f "$file" || continue
	python3 -c 'import ast, asyncio, sys, tomllib
ast.parse(open(sys.argv[1]).read())' "$file"
done
