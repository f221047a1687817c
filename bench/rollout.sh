#!/usr/bin/env bash
# Measures the time from the start of `jackdaw apply` until the manifest is in
# force on every node, as the nodes log it, and prints the store's call counts.
# Usage: rollout.sh [BUILD] [NODES] [APPLIES]
set -euo pipefail
bin=$(cd "${1:-build}" && pwd)
nodes=${2:-24}
applies=${3:-10}
port=${BENCH_PORT:-25200}
dir=$(mktemp -d)
pids=()
store=127.0.0.1:$port
regions=(south south central central east east)

cleanup() {
	for pid in "${pids[@]}"; do
		kill -KILL "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	rm -rf "$dir"
}
trap cleanup EXIT

# The address of port $2 (0: HTTP, 1: peers, 2: upstream) of node $1.
addr() { echo "127.0.0.1:$((port + 10 + 3 * $1 + $2))"; }

# Prints a manifest that differs from others in timeout_ms, $1.
manifest() {
	for d in 0 1 2 3 4 5; do
		printf '[[data_centre]]\nname = "dc%d"\nregion = "%s"\n' \
			"$d" "${regions[$d]}"
	done
	cat <<-T
		[[route]]
		name = "archive"
		service = "archive"
		path = "/archive/"
		kind = "keyed"
		key_source = "path"
		key_segment = 1
		shards = 1024
		timeout_ms = $1
	T
}

start_node() {
	cat >"$dir/n$1.toml" <<-T
		name = "n$1"
		data_centre = "dc$(($1 % 6))"
		region = "${regions[$(($1 % 6))]}"
		http_addr = "$(addr "$1" 0)"
		peer_addr = "$(addr "$1" 1)"
		store_addr = "$store"
	T
	"$bin/jackdawd" -s "$dir/n$1.toml" 2>"$dir/n$1.log" &
	pids+=($!)
	"$bin/fake-upstream" --addr "$(addr "$1" 2)" --node "$(addr "$1" 0)" \
		--service archive 2>/dev/null &
	pids+=($!)
}

# Applies the manifest with timeout_ms $1 and prints its revision.
apply() {
	manifest "$1" >"$dir/m.toml"
	"$bin/jackdaw" --store "$store" --wait --timeout-s 60 \
		apply "$dir/m.toml" >"$dir/out" || {
		cat "$dir/out"
		echo "rollout: apply failed"
		exit 1
	}
	sed -n 's/applied: revision //p' "$dir/out"
}

# Prints the time at which the last node put revision $1 in force, in
# milliseconds since midnight (UTC), and how many nodes have done so.
last_in_force() {
	grep -h "event=manifest_in_force revision=$1 " "$dir"/n*.log |
		sed 's/^time=[^T]*T\([0-9]*\):\([0-9]*\):\([0-9.]*\)Z.*/\1 \2 \3/' |
		awk '{t=($1*60+$2)*60000+$3*1000; if (t>m) m=t; n++}
		     END{printf "%d %d", m, n}'
}

# Milliseconds since midnight (UTC).
day_ms() {
	date -u +'%H %M %S.%3N' |
		awk '{printf "%d", ($1*60+$2)*60000+$3*1000}'
}
print_store_calls() { curl -s "http://$store/admin/stats"; }

"$bin/fake-store" --addr "$store" 2>/dev/null &
pids+=($!)
sleep 0.3
apply 1000 >/dev/null
for ((i = 0; i < nodes; i++)); do start_node "$i"; done
joined=0
for ((i = 0; i < 300; i++)); do
	joined=$("$bin/jackdaw" --store "$store" status | grep -c ' valid ' || true)
	[ "$joined" = "$nodes" ] && break
	sleep 0.2
done
[ "$joined" = "$nodes" ] || {
	echo "rollout: $joined of $nodes nodes joined"
	exit 1
}
sleep 5
echo "rollout: $nodes nodes in 6 data centres; store calls before and after 5 s without changes:"
print_store_calls
sleep 5
print_store_calls
max_ms=0
for ((k = 1; k <= applies; k++)); do
	start=$(day_ms)
	revision=$(apply $((1000 + k)))
	read -r end count <<<"$(last_in_force "$revision")"
	[ "$count" = "$nodes" ] || {
		echo "rollout: $count of $nodes nodes logged revision $revision"
		exit 1
	}
	elapsed_ms=$((end - start))
	echo "rollout: apply $k, $count nodes after $elapsed_ms ms; $(tail -n 1 "$dir/out")"
	if [ "$elapsed_ms" -gt "$max_ms" ]; then max_ms=$elapsed_ms; fi
	sleep 0.5
done
echo "rollout: store calls after $applies applies:"
print_store_calls
echo "bench: name=rollout_ms value=$max_ms nodes=$nodes applies=$applies"
