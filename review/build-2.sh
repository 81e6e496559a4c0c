#!/bin/sh
# Builds what the cases 6 to 10 start beside the program of the deploy file. Their stand-ins (review/lib-2/rig.py) are
# Python scripts that need the standard library alone, so they are only checked here. Needs no network.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 8), "Python 3.8 or newer is needed"'
for file in review/lib-2/rig.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py; do
    test ! -e "$file" || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
test -x target/release/lb-sidecar || echo "build-2.sh: run the build of deploy/balancer.toml first"
