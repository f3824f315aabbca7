#!/bin/sh
# Builds what the cases from 4 on start beside corkward-hosted. Their stand-ins are scripts (python3 stands in
# packages.txt); so this only checks that they can be read and that the build of the deploy file was made.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
python3 - "$here/standins-2/platform/fleet.py" "$here"/[4-8]/case.py <<'END'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
END
test -x "$here/../target/platform/corkward-hosted" || {
  echo "build-2.sh: run the build command of deploy/system.toml first" >&2
  exit 1
}
