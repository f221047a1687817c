#!/bin/sh
# Runs the formatter, layer and linter checks; exits non-zero on any finding.
set -e
cd "$(dirname "$0")/.."
files=$(git ls-files '*.c' '*.h' '*.cpp')
clang-format --dry-run --Werror $files
bad=$(grep -nE '#include *<(sys/|netinet/|arpa/|unistd|fcntl|time\.h|stdio|poll|event2|zmq|signal|pthread|threads)' core/*.[ch] core/*/*.[ch] |
	grep -v 'core/text.c' || true)
bad="$bad$(grep -nE '#include *"(io|wire|fakes|daemon|cli|platform)/' core/*.[ch] core/*/*.[ch] || true)"
bad="$bad$(grep -nE '#include *"(io|fakes|daemon|cli|platform)/' wire/*.[ch] || true)"
bad="$bad$(grep -niE 'jackdawpaddle' core/*.[ch] core/*/*.[ch] wire/*.[ch] io/*.[ch] || true)"
if [ -n "$bad" ]; then
	echo "layer check: core/, wire/ or io/ depends on an outer layer:"
	echo "$bad"
	exit 1
fi
cmake -S . -B build -DCMAKE_BUILD_TYPE=RelWithDebInfo >build-cmake.log
cppcheck --quiet --std=c11 --error-exitcode=1 --inline-suppr \
	--enable=warning,performance,portability -I . \
	--library=tools/cppcheck.cfg --suppress=missingIncludeSystem --suppress=normalCheckLevelMaxBranches \
	-j "$(nproc)" core wire io platform daemon cli fakes bench chaos
git ls-files 'core/*.c' 'core/*/*.c' 'wire/*.c' 'io/*.c' 'platform/*.c' 'daemon/*.c' 'cli/*.c' \
	'fakes/*.c' 'bench/*.c' 'chaos/*.c' |
	xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>/dev/null
echo "lint: ok"
