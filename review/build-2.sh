#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/_standins-2/bin
go build -o review/_standins-2/bin/cases ./review/_standins-2/cases
