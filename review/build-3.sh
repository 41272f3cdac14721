#!/bin/sh
# Builds the project's own stand-in of the platform's store, which the scripts 11 to 15 start; their other stand-ins are
# in lib-3/ and need no build. It needs no network, only the packages that the build of the deploy file has installed.
cd "$(dirname "$0")/.." && npm run --silent build
