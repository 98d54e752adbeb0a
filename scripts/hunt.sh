#!/bin/sh
# hunt.sh SITE alone|twice|closing|pairs [--seed N] [--jobs N]: days of our own on the bench at $FLEETBENCH
set -eu
cd "$(dirname "$0")/.."
exec python3 scripts/hunt.py "$@"
