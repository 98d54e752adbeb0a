#!/bin/sh
# fuzz.sh [SECONDS]: each libFuzzer target for a while, under the sanitizers
set -eu
cd "$(dirname "$0")/.."
. scripts/setup.sh
comet_install
CC=clang CXX=clang++ comet_build build-fuzz -Dfuzz=true -Dc_args=-fsanitize=fuzzer-no-link -Db_sanitize=address,undefined -Db_lundef=false
for target in bundle head peer published request
do
	mkdir -p "out/corpus-$target"
	seeds=""
	[ ! -d "tests/fuzz/corpus-$target" ] || seeds="tests/fuzz/corpus-$target"
	build-fuzz/tests/fuzz_$target -max_total_time="${1:-20}" -max_len=65536 \
		-print_final_stats=1 "out/corpus-$target" $seeds >"out/fuzz-$target.log" 2>&1 || {
		tail -n 40 "out/fuzz-$target.log"
		exit 1
	}
	echo "fuzz_$target: $(grep -o 'number_of_executed_units.*' "out/fuzz-$target.log")"
done
