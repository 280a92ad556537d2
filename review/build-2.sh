#!/bin/sh
# Compiles the stand-ins that the cases of the second review start. It needs the build
# of the deploy file, which places the libraries under target/deps, and no network.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps ] || { echo "run the build of deploy/system.toml first"; exit 2; }
PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1 exec python3 - <<'END'
import importlib
import pathlib

for name in ("site", "caller", "case"):
    importlib.import_module(f"review.standins2.{name}")
importlib.import_module("wigeonhitch.site.main")
for number in range(4, 9):
    if pathlib.Path(f"review/{number}/case.py").exists():
        importlib.import_module(f"review.{number}.case")
print("stand-ins built")
END
