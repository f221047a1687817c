/**
 * Choice of the gate for a request without a key.
 *
 * Many entries choose at once, by load reports that are as old as a service
 * time or older. If each took the gate with the least delay, all would take the
 * same one until its next report. So an entry draws one at random, by capacity,
 * among those that delay a request little longer than the best one. The idea is
 * from "How Useful Is Old Information?" (M. Mitzenmacher): the older the load,
 * the less it may decide.
 */
#ifndef JD_CORE_CHOICE_H
#define JD_CORE_CHOICE_H

#include "core/directory.h"
#include "core/rng.h"

struct choice_opts {
	const char *region; /* of the entry */
	const char *dc;
	uint64_t now_ns;
	uint64_t objective_ns; /* of the route */
	double kb;	       /* of the bodies of the request and its answer */
	struct rng *rng;
	const struct even_service *even; /* NULL: not under heavy load */
};

/** One choice: offer each gate twice, first to measure, then to draw. */
struct choice {
	struct choice_opts opts;
	bool measured;	 /* any gate */
	double least_ns; /* least delay of a gate */
	double least_distance_ns;
	double near_room;	 /* most of a gate at the least distance */
	double weight;		 /* of the gates drawn from so far */
	struct dir_node *picked; /* NULL: none */
};

void choice_init(struct choice *ch, const struct choice_opts *o);

void choice_measure(struct choice *ch, const struct dir_node *n);

/** Only after all gates were measured; the result is in @ch->picked. */
void choice_draw(struct choice *ch, struct dir_node *n);

#endif
