#!/bin/sh
# rounds.sh SITE --why TEXT [--seeds N] [--days A,B] [--jobs N]: a site's standard days on several seeds
set -eu
cd "$(dirname "$0")/.."
exec python3 scripts/rounds.py "$@"
