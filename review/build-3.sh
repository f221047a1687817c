#!/bin/sh
# Builds the programs of review/11 to review/15 into target/review-3, with the
# libraries that the build of deploy/system.toml leaves in target/.
set -e
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for main in review/lab3/*_main.c; do
	name=$(basename "$main" _main.c)
	cc -std=c11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -I. -o "$out/$name" \
		"$main" review/lab3/lab.c fakes/kv_server.c chaos/proxy.c \
		target/libjd_platform.a target/libjd_io.a target/libjd_wire.a \
		target/libjd_core.a -levent -lzmq -ljansson -lhttp_parser \
		-lmsgpackc -lxxhash -lz -lstdc++ -lm
done
