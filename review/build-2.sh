#!/bin/sh
# build-2.sh: builds the stand-ins that the scripts of this review start. They are Python: a compiled copy in a temporary
# folder shows that each can be read.
set -eu
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for file in tests/system/platform_standin.py review/deployment_2.py review/[6-9]/*.py review/10/*.py
do
	[ -f "$file" ] || continue
	python3 -c 'import py_compile, sys; py_compile.compile(sys.argv[1], cfile=sys.argv[2], doraise=True)' \
		"$file" "$folder/$(echo "$file" | tr / _)c"
done
