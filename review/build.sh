#!/bin/sh
# Compiles the stand-ins that the cases start, the project's own too. It needs the build
# of the deploy file, which places the libraries under target/deps, and no network.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps ] || { echo "run the build of deploy/system.toml first"; exit 2; }
PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1 exec python3 - <<'END'
import importlib

for name in (
    "review.support.case",
    "review.support.checks",
    "review.support.worker",
    "standins.soak.store",
    "standins.rowstore",
    "wigeonhitch.site.main",
):
    importlib.import_module(name)
for number in (1, 2, 3):
    importlib.import_module(f"review.{number}.case")
print("stand-ins built")
END
