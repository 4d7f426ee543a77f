#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x review/_standins-2/bin/cases ] || { echo "review/build-2.sh first"; exit 2; }
exec review/_standins-2/bin/cases once "$here"
