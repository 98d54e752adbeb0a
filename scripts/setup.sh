# setup.sh: what the other scripts share; sourced, not run

comet_packages="gcc g++ meson ninja-build pkg-config python3 libtalloc-dev libtevent-dev libzmq3-dev
	libmicrohttpd-dev libcurl4-openssl-dev libargtable2-dev libglib2.0-dev libjson-c-dev
	libsodium-dev libhttp-parser-dev zlib1g-dev libnanopb-dev libxxhash-dev libzstd-dev libgtest-dev clang clang-format clang-tidy
	libclang-rt-14-dev valgrind git"

# Installs what is missing (Debian 12, as root).
comet_install()
{
	missing=""
	for package in $comet_packages
	do
		dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q "ok installed" ||
			missing="$missing $package"
	done
	[ -z "$missing" ] && return 0
	echo "installing:$missing"
	export DEBIAN_FRONTEND=noninteractive
	apt-get update -q >/dev/null
	# shellcheck disable=SC2086
	apt-get install -q -y --no-install-recommends $missing >/dev/null
}

# comet_build FOLDER [MESON-OPTION...]: configures once, then builds.
comet_build()
{
	folder=$1
	shift
	[ -f "$folder/build.ninja" ] || meson setup "$folder" "$@" >/dev/null
	ninja -C "$folder" >"$folder/ninja.log" 2>&1 || {
		cat "$folder/ninja.log"
		return 1
	}
}
