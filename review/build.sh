#!/bin/sh
# Builds the stand-ins that the scripts of the cases start, into review/bin/.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in lab/*.cpp; do
	name=$(basename "$source" .cpp)
	g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "bin/$name" "$source" \
		-ljansson
done
