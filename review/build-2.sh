#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are Python without dependencies: each script runs
# them in its own process. Compiling them finds errors early.
cd "$(dirname "$0")" && exec python3 -m compileall -q harness 6 7 8 9 10
