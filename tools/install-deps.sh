#!/bin/sh
# Installs the packages the build and the checks need, when any is missing.
set -e
PACKAGES="build-essential cmake pkg-config curl ccache clang-format clang-tidy
cppcheck libevent-dev libzmq3-dev libargtable2-dev libtomlplusplus-dev
libmsgpack-dev libxxhash-dev libgtest-dev libgmock-dev librapidcheck-dev
libjansson-dev libhttp-parser-dev zlib1g-dev"
missing=""
for p in $PACKAGES; do
	dpkg-query -W -f='${Status}' "$p" 2>/dev/null | grep -q 'ok installed' ||
		missing="$missing $p"
done
[ -z "$missing" ] && exit 0
SUDO=""
[ "$(id -u)" = 0 ] || SUDO=sudo
$SUDO apt-get update -qq
DEBIAN_FRONTEND=noninteractive $SUDO apt-get install -y -qq $missing
