#!/bin/sh
# Builds what the scripts of review/6 and later start. Their stand-ins (review/lib-2) are plain modules for Node.js that
# import nothing but its own modules, and the program is that of the build line of deploy/system.toml, so that there is
# nothing to compile; this only checks that all of them load.
cd "$(dirname "$0")/.." || exit 1
for file in review/lib-2/*.mjs review/[6-9]/run.mjs review/10/run.mjs; do
  [ ! -e "$file" ] || node --check "$file" || exit 1
done
