#!/usr/bin/env bash
# Runs a fleet of real processes end to end and prints a figure for each step.
set -euo pipefail
bin=$(cd "${1:-build}" && pwd)
here=$(cd "$(dirname "$0")/.." && pwd)
dir=$(mktemp -d)
port=${DEMO_PORT:-17000}
pids=()

cleanup() {
	for pid in "${pids[@]}"; do
		kill -KILL "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	rm -rf "$dir"
}
trap cleanup EXIT

now_ms() { date +%s%3N; }
store=127.0.0.1:$port
http() { echo "127.0.0.1:$((port + 10 * $1 + 1))"; }
peer() { echo "127.0.0.1:$((port + 10 * $1 + 2))"; }
upstream() { echo "127.0.0.1:$((port + 10 * $1 + 3))"; }
fail() {
	echo "demo: FAILED: $*"
	tail -n 20 "$dir"/*.log
	exit 1
}

# get NODE KEY: prints "STATUS OWNER"; the body is left in $dir/body
get() {
	curl -s -m 6 -o "$dir/body" -D "$dir/head" \
		"http://$(http "$1")/archive/$2" || true
	awk 'NR==1{c=$2} tolower($1)=="x-jackdaw-served-by:"{s=$2}
	     END{gsub("\r","",s); printf "%s %s", c, s}' "$dir/head"
}

# until_true SECONDS COMMAND...: retries the command until it succeeds
until_true() {
	local end=$(($(now_ms) + $1 * 1000))
	shift
	until "$@"; do
		[ "$(now_ms)" -lt "$end" ] || return 1
		sleep 0.05
	done
}

# serves NODE KEY: true when the request is answered with 200
serves() { [ "$(get "$1" "$2" | cut -d' ' -f1)" = 200 ]; }

# start_node NUMBER DATA_CENTRE: starts a node and its upstream
start_node() {
	cat >"$dir/n$1.toml" <<-T
		name = "n$1"
		data_centre = "$2"
		region = "hu-south"
		http_addr = "$(http "$1")"
		peer_addr = "$(peer "$1")"
		store_addr = "$store"
	T
	"$bin/jackdawd" -s "$dir/n$1.toml" 2>"$dir/n$1.log" &
	pids+=($!)
	node_pid[$1]=$!
	"$bin/fake-upstream" --addr "$(upstream "$1")" --node "$(http "$1")" \
		--service archive --work-ms 5 --record "$dir/record" \
		2>"$dir/u$1.log" &
	pids+=($!)
	upstream_pid[$1]=$!
}

declare -A node_pid upstream_pid
"$bin/fake-store" --addr "$store" 2>"$dir/store.log" &
pids+=($!)
until_true 10 curl -s -m 1 -o "$dir/body" "http://$store/" ||
	fail "the store does not answer"

t0=$(now_ms)
"$bin/jackdaw" --store "$store" apply "$here/examples/demo.toml" ||
	fail "apply"
echo "step 1: manifest applied by compare-and-swap in $(($(now_ms) - t0)) ms"

t0=$(now_ms)
start_node 1 south-1
start_node 2 south-2
start_node 3 south-2
for n in 1 2 3; do
	until_true 20 serves "$n" order-1 || fail "node $n does not serve"
done
echo "step 2: three nodes joined and serve after $(($(now_ms) - t0)) ms"

# True when each of the three nodes owns at least 60 shards.
balanced() {
	for n in 1 2 3; do
		[ "$(curl -s "http://$(http "$n")/-/status" |
			sed 's/.*"shards": *\([0-9]*\).*/\1/')" -ge 60 ] ||
			return 1
	done
}
until_true 20 balanced || fail "shards are not spread"
sleep 1
for n in 1 2 3; do
	echo "step 3: $(curl -s "http://$(http "$n")/-/status")"
done

for key in order-1 order-2 order-3 order-4 order-5; do
	owners=$(for n in 1 2 3; do get "$n" $key | cut -d' ' -f2; echo; done |
		sort -u | xargs)
	[ "$(echo "$owners" | wc -w)" = 1 ] || fail "$key is served by $owners"
	echo "step 4: $key through each node is served by $owners"
done

key=order-1
owner=$(get 1 $key | cut -d' ' -f2)
victim=${owner#n}
other=$((victim % 3 + 1))
t0=$(now_ms)
kill -KILL "${node_pid[$victim]}" "${upstream_pid[$victim]}"
wait "${node_pid[$victim]}" "${upstream_pid[$victim]}" 2>/dev/null || true
served_elsewhere() {
	local r
	r=$(get "$other" $key)
	[ "${r%% *}" = 200 ] && [ "${r##* }" != "$owner" ]
}
until_true 20 served_elsewhere || fail "$key is not served again"
echo "step 5: $owner killed; $key served again by $(get "$other" $key |
	cut -d' ' -f2) after $(($(now_ms) - t0)) ms"

# Every request during a planned stop must end in 200.
stopped=$other
remaining=$((6 - victim - other))
load() {
	for i in $(seq 1 150); do
		code=$(curl -s -m 6 -o /dev/null -w '%{http_code}' \
			"http://$(http "$remaining")/archive/load-$i")
		echo "$code"
	done
}
load >"$dir/codes" &
load_pid=$!
sleep 0.1
t0=$(now_ms)
kill -TERM "${node_pid[$stopped]}"
wait "${node_pid[$stopped]}" || fail "n$stopped did not stop cleanly"
echo "step 6: n$stopped stopped as planned after $(($(now_ms) - t0)) ms"
wait "$load_pid"
ok=$(grep -c '^200$' "$dir/codes")
echo "step 6: $ok of $(wc -l <"$dir/codes") requests during the stop ended in 200"
[ "$ok" = 150 ] || fail "requests failed: $(sort "$dir/codes" | uniq -c)"
echo "demo: ok"
