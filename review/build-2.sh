#!/bin/bash
# Builds what the scripts of review/4 to review/8 start besides the build of the deploy file.
#
# The stand-ins for the store, the replicas and the clients are in review/common-2 and need no
# build: they run inside of the script, with the standard library of Python alone.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline -p kumquatnotch-platform
python3 - review/common-2/standins.py review/*/case.py <<'CHECK'
import ast, sys
for path in sys.argv[1:]:
    with open(path) as source:
        ast.parse(source.read(), path)
CHECK
