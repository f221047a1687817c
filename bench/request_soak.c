/*
 * Randomised runs of the request core with faults: request_soak [SEED [STEPS]].
 * Each step is a run of its own, with the next seed.
 */
#include <stdio.h>
#include <stdlib.h>

#include "core/invariant.h"
#include "fakes/request_sim.h"

#define REQUESTS_PER_STEP 2000

static void print_line(const char *line)
{
	fprintf(stderr, "%s\n", line);
}

static void add_result(struct request_sim_result *total,
		       const struct request_sim_result *r)
{
	total->requests += r->requests;
	total->done += r->done;
	total->not_run += r->not_run;
	total->unknown += r->unknown;
	total->gone += r->gone;
	total->executed += r->executed;
	total->forwards += r->forwards;
	total->doubled += r->doubled;
	total->unmatched += r->unmatched;
	total->moves += r->moves;
	total->restarts += r->restarts;
}

int main(int argc, char **argv)
{
	struct request_sim_opts o = request_sim_default;
	struct request_sim_result total = {0};
	unsigned long seed = argc > 1 ? strtoul(argv[1], NULL, 10) : 1;
	unsigned long steps = argc > 2 ? strtoul(argv[2], NULL, 10) : 5;

	invariant_set_sink(print_line);
	o.requests = REQUESTS_PER_STEP;
	for (unsigned long i = 0; i < steps; i++) {
		struct request_sim_result r;

		o.seed = seed + i;
		r = request_sim_run(&o);
		add_result(&total, &r);
	}
	printf("request_soak: ok seed=%lu steps=%lu requests=%lu done=%lu "
	       "not_run=%lu unknown=%lu gone=%lu executed=%lu forwards=%lu "
	       "doubled=%lu unmatched=%lu moves=%lu restarts=%lu\n",
	       seed, steps, total.requests, total.done, total.not_run,
	       total.unknown, total.gone, total.executed, total.forwards,
	       total.doubled, total.unmatched, total.moves, total.restarts);
	return EXIT_SUCCESS;
}
