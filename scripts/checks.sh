#!/bin/sh
# checks.sh: the tests and checks themselves; its last line counts them
set -u
cd "$(dirname "$0")/.."
. scripts/setup.sh
passed=0
failed=0
known_red=0

# check NAME COMMAND...: runs it and counts how it went.
check()
{
	name=$1
	shift
	if "$@" >"out/$(echo "$name" | tr ' /' '__').log" 2>&1
	then
		passed=$((passed + 1))
		echo "ok   $name"
	else
		failed=$((failed + 1))
		echo "FAIL $name"
		tail -n 40 "out/$(echo "$name" | tr ' /' '__').log"
	fi
}

# Tests that may fail for now: the lines of KNOWN-RED.txt begin with their names.
is_known_red()
{
	[ -f KNOWN-RED.txt ] && grep -q "^$1:" KNOWN-RED.txt
}

# count_tests WHAT CODE PASSED FAILED-NAMES LOG: adds the tests of one run; a run that failed without
# naming a test, or ended otherwise than with a test's failure (1), counts as one that did.
count_tests()
{
	bad=0
	for name in $4
	do
		if is_known_red "$name"
		then
			known_red=$((known_red + 1))
			echo "KNOWN RED $name ($1)"
		else
			bad=$((bad + 1))
			echo "FAIL $name ($1)"
		fi
	done
	[ "$2" -ne 0 ] && [ -z "$4" ] && bad=1
	[ "$2" -gt 1 ] && bad=$((bad + 1))
	passed=$((passed + $3))
	failed=$((failed + bad))
	echo "$1: $3 passed, $bad failed"
	[ "$bad" -eq 0 ] || grep -B 15 -A 5 'FAILED\|ERROR\|Error\|runtime error' "$5" | head -n 80
}

# GoogleTest counts its own tests.
check_unit()
{
	log=out/unit-$1.log
	"$2" >"$log" 2>&1
	code=$?
	good=$(grep -c '^\[       OK \]' "$log")
	names=$(sed -n 's/^\[  FAILED  \] \(.*\) (.* ms)$/\1/p' "$log")
	count_tests "unit tests ($1)" $code "$good" "$names" "$log"
}

# check_session NAME BUILD: a script of system tests, which prints a line for each of them, or none.
check_session()
{
	log=out/$1.log
	env COMET_BUILD="$2" timeout 180 python3 "tests/system/$1.py" >"$log" 2>&1
	code=$?
	good=$(grep -c '^OK ' "$log")
	names=$(sed -n 's/^FAILED //p' "$log")
	[ $code -eq 0 ] && [ "$good" -eq 0 ] && good=1
	count_tests "$1 ($2)" $code "$good" "$names" "$log"
}

sources()
{
	git ls-files -co --exclude-standard '*.c' '*.h' '*.cc' | grep -v '\.pb\.[ch]$'
}

check_format()
{
	# shellcheck disable=SC2046
	clang-format --dry-run -Werror $(sources)
}

check_tidy()
{
	sources | grep '\.c$' | xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet \
		--warnings-as-errors='*'
}

# The names of the users' platform stay in platform/ (and in the tests' stand-in for it).
check_names()
{
	! git grep -nE 'X-Cometspindle|kv-watch|kv-range|op/config|private_key|path_prefix=|machine_class|since_rev' \
		-- 'libcometspindle/*.[ch]' 'cli/*.[ch]'
}

# Seeds of the soak that once found something, and a short one.
check_soak()
{
	grep -v '^#' tests/soak/regressions | while read -r seed seconds scale kinds _
	do
		COMET_BUILD=build-asan timeout 200 python3 scripts/soak_gateway.py --seed "$seed" \
			--seconds "$seconds" --scale "$scale" --kinds "${kinds%:}" || return 1
	done
}

mkdir -p out
export ASAN_OPTIONS=detect_leaks=1:abort_on_error=0
# glib hands small blocks from thread to thread out of the sanitizers' sight: have it use malloc
export G_SLICE=always-malloc
export TSAN_OPTIONS=suppressions=$PWD/tests/tsan.supp
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1
check "build" comet_build build -Dbuildtype=release
check "build with sanitizers" comet_build build-asan -Db_sanitize=address,undefined -Db_lundef=false
check "build with thread sanitizer" comet_build build-tsan -Db_sanitize=thread -Db_lundef=false
check_unit asan build-asan/tests/unit
for session in tests/system/test_*.py
do
	check_session "$(basename "$session" .py)" build-asan
done
check "test_path (tsan)" env COMET_BUILD=build-tsan timeout 120 python3 tests/system/test_path.py
check "documents beside the loop (tsan)" env COMET_BUILD=build-tsan timeout 120 \
	python3 tests/system/test_directory.py test_large_documents_in_series
check "soak of gateways (asan)" check_soak
check "fleet of gateways (asan)" env COMET_BUILD=build-asan timeout 180 python3 scripts/gateway_fleet.py \
	--vms 24 --zones 2 --endpoints 600 --teams 40 --rate 40 --warm-s 3 --seconds 5 --fault kill_all
check "names" check_names
check "results" python3 scripts/check_results.py
check "format" check_format
check "clang-tidy" check_tidy
if [ -s KNOWN-RED.txt ]
then
	echo "known red:"
	cat KNOWN-RED.txt
fi
[ "$known_red" -eq 0 ] || echo "$known_red known red"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
