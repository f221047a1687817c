/* Randomised runs of the request core: request_soak SEED STEPS. */
#include <stdio.h>
#include <stdlib.h>

#include "core/invariant.h"
#include "fakes/request_sim.h"

#define REQUESTS_A_STEP 2000

static void print_line(const char *line)
{
	fprintf(stderr, "%s\n", line);
}

static void add(struct request_sim_result *sum,
		const struct request_sim_result *r)
{
	sum->requests += r->requests;
	sum->done += r->done;
	sum->not_run += r->not_run;
	sum->unknown += r->unknown;
	sum->gone += r->gone;
	sum->executed += r->executed;
	sum->forwards += r->forwards;
	sum->doubled += r->doubled;
	sum->unmatched += r->unmatched;
	sum->moves += r->moves;
	sum->restarts += r->restarts;
}

int main(int argc, char **argv)
{
	struct request_sim_opts o = request_sim_default;
	struct request_sim_result sum = {0};
	unsigned long seed = argc > 1 ? strtoul(argv[1], NULL, 10) : 1;
	unsigned long steps = argc > 2 ? strtoul(argv[2], NULL, 10) : 5;

	invariant_set_sink(print_line);
	o.requests = REQUESTS_A_STEP;
	for (unsigned long i = 0; i < steps; i++) {
		struct request_sim_result r;

		o.seed = seed + i;
		r = request_sim_run(&o);
		add(&sum, &r);
	}
	printf("request_soak: ok seed=%lu steps=%lu requests=%lu done=%lu "
	       "not_run=%lu unknown=%lu gone=%lu executed=%lu forwards=%lu "
	       "doubled=%lu unmatched=%lu moves=%lu restarts=%lu\n",
	       seed, steps, sum.requests, sum.done, sum.not_run, sum.unknown,
	       sum.gone, sum.executed, sum.forwards, sum.doubled, sum.unmatched,
	       sum.moves, sum.restarts);
	return EXIT_SUCCESS;
}
