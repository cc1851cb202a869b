#!/usr/bin/env bash
# Builds what the scripts start: the deploy file's program, and the stand-ins (Python 3.9 or later,
# its standard library only), which need no more than a syntax check.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --bin jackdawchute
python3 - <<'PY'
import sys, pathlib
assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for path in pathlib.Path("review").rglob("*.py"):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
