#!/bin/sh
# soak.sh [gateway] [--seed N] [--seconds S] ...: faults drawn from a seed; see soak.py, soak_gateway.py
set -eu
cd "$(dirname "$0")/.."
. scripts/setup.sh
comet_install
comet_build build -Dbuildtype=release
if [ "${1:-}" = gateway ]
then
	shift
	exec python3 scripts/soak_gateway.py "$@"
fi
exec python3 scripts/soak.py "$@"
