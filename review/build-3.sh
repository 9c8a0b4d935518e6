#!/bin/sh
# Builds the stand-ins of cases 11 to 15: they are Python files, so this checks that
# each one compiles and that the daemons' dependencies are in place.
cd "$(dirname "$0")/.." || exit 1
python3 - <<'PYTHON' || exit 1
import pathlib
import sys

files = [pathlib.Path("review/site_3.py")]
files += [p for n in range(11, 16) for p in pathlib.Path(f"review/{n}").glob("*.py")]
for path in files:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
if not pathlib.Path("target/deps/msgpack").is_dir():
    sys.exit("run the build of the deploy file first")
print(f"{len(files)} files compile")
PYTHON
