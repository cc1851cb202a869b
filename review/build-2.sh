#!/bin/bash
# The stand-ins of the cases 6 to 10 are written in Python (standard library only), so that nothing is
# compiled; this checks that they load.
set -eu
cd "$(dirname "$0")/standins-2"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import case, stand_ins'
echo "stand-ins ready"
