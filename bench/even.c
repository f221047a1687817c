/*
 * Measures how evenly entries load the gates of a service by old news, and how
 * long the slowest hundredth of the requests waits for a slot. Baselines: the
 * choice without heavy load, and one central queue that knows all.
 */
#include <stdio.h>
#include <stdlib.h>

#include "core/types.h"
#include "fakes/gate_fleet.h"

static const uint32_t entry_counts[] = {7, 65, 195, 710};
static const double slot_shares[] = {0.55, 0.8};

static void measure(uint32_t entries, double slots_used)
{
	struct gate_fleet_opts o = {
		.entries = entries,
		.gates = entries < 26 ? entries : 26,
		.slots = 18,
		.slots_used = slots_used,
		.clump = 8,
		.run_ns = 120 * NS_PER_S,
		.seed = 1,
	};
	struct gate_fleet_result r[GATE_FLEET_WAYS];

	for (int way = 0; way < GATE_FLEET_WAYS; way++) {
		o.way = (enum gate_fleet_way)way;
		r[way] = gate_fleet_run(&o);
	}
	printf("bench: name=even_busiest_n%u_%.0f ours=%.3f baseline=%.3f\n",
	       entries, 100 * slots_used, r[GATE_FLEET_EVEN].busiest_over_mean,
	       r[GATE_FLEET_CHOICE].busiest_over_mean);
	printf("bench: name=even_wait_p99_ms_n%u_%.0f ours=%.1f baseline=%.1f "
	       "central=%.1f\n",
	       entries, 100 * slots_used, r[GATE_FLEET_EVEN].wait_p99_ms,
	       r[GATE_FLEET_CHOICE].wait_p99_ms,
	       r[GATE_FLEET_CENTRAL].wait_p99_ms);
}

int main(void)
{
	for (size_t s = 0; s < sizeof(slot_shares) / sizeof(*slot_shares); s++)
		for (size_t i = 0;
		     i < sizeof(entry_counts) / sizeof(*entry_counts); i++)
			measure(entry_counts[i], slot_shares[s]);
	return EXIT_SUCCESS;
}
