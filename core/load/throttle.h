/**
 * Client-side throttling of requests to one gate, by rank: a gate whose full
 * queue refuses most requests of a rank is sent only some of these, about twice
 * what it takes, while those that it takes are all sent. From "Site Reliability
 * Engineering" (B. Beyer et al.).
 */
#ifndef JD_CORE_LOAD_THROTTLE_H
#define JD_CORE_LOAD_THROTTLE_H

#include "core/rng.h"
#include "core/types.h"

/* Requests and calls of the ranks 0 to 2, and of all others. */
#define THROTTLE_CLASSES 8

struct throttle {
	double asked; /* requests to the gate, decaying */
	double taken; /* those of them that its queue took, decaying */
	uint64_t decayed_ns;
};

/** Index of a request's class in an array of THROTTLE_CLASSES. */
uint32_t throttle_class(uint32_t rank, bool call);

/** True if a request is not to be sent. */
bool throttle_drops(struct throttle *t, struct rng *rng, uint64_t now_ns);

/** Counts a request that was dropped, or that the gate has got. */
void throttle_note_asked(struct throttle *t);

/** Counts one that the gate has taken. */
void throttle_note_taken(struct throttle *t);

#endif
