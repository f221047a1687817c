/**
 * Admission to the own upstream: an adaptive limit, a queue bounded in
 * length and by deadline, and fair shares between organisations.
 */
#ifndef JD_CORE_ADMISSION_H
#define JD_CORE_ADMISSION_H

#include "core/event.h"
#include "core/limiter.h"
#include "core/list.h"
#include "core/refusal.h"
#include "core/types.h"

enum ticket_state { TICKET_IDLE, TICKET_WAITING, TICKET_RUNNING };

/** An order's place in the queue, then its slot; part of the order. */
struct ticket {
	struct list link; /* in org_queue.tickets while it waits */
	struct org_queue *org;
	enum ticket_state state;
	uint64_t deadline_ns;
	uint64_t started_ns;
};

/** The orders of one organisation. */
struct org_queue {
	struct list link; /* in admission.orgs */
	char name[JD_NAME_MAX];
	uint32_t weight;
	uint32_t waiting;
	uint32_t running;
	double used; /* upstream time by weight, a virtual clock in ns */
	uint64_t service_ns;  /* moving average of an order's time */
	uint32_t peak;	      /* most running at once in this period */
	uint32_t last_peak;   /* and in the one before */
	uint64_t peak_end_ns; /* of this period */
	struct list tickets;  /* of struct ticket, the oldest first */
};

struct admission {
	struct limiter limiter;
	uint64_t instance; /* of the upstream; 0 before it announced itself */
	uint32_t slots;
	uint32_t load_permille; /* by its own, lagging word */
	uint64_t silent_ns;	/* nothing heard by then: no new orders */
	uint64_t drain_ns;	/* when draining: no new orders from then */
	uint64_t service_ns;	/* moving average over all orders */
	double clock;		/* org_queue.used of the last one served */
	struct list orgs;	/* of struct org_queue */
	struct list dropped; /* of struct ticket, for admission_pop_dropped() */
	uint32_t waiting;
	uint32_t running;
	uint64_t refused;
};

void admission_init(struct admission *a);
/** Frees the queues; the tickets stay with their owner. */
void admission_done(struct admission *a);

/** Takes the upstream's word; it never raises the limit. */
void admission_on_announcement(struct admission *a, const struct ev_announce *w,
			       uint64_t now_ns);

struct ticket_opts {
	const char *organisation; /* "" for all that the manifest lacks */
	uint32_t weight;	  /* 0 counts as 1 */
	uint64_t deadline_ns;
	bool any; /* another upstream may take it */
};

/**
 * Queues @t, or says why not. Ask admission_pop_dropped() and
 * admission_start_next() afterwards.
 */
enum refusal admission_enqueue(struct admission *a, struct ticket *t,
			       const struct ticket_opts *o, uint64_t now_ns);

/** The next order to start, which takes a slot; NULL for none. */
struct ticket *admission_start_next(struct admission *a, uint64_t now_ns);

/** An order taken off the queue that won't run; NULL for none. */
struct ticket *admission_pop_dropped(struct admission *a, uint64_t now_ns,
				     enum refusal *why);

/** Ends the order: its slot or its place in the queue is free. */
void admission_end(struct admission *a, struct ticket *t, enum request_end end,
		   uint64_t now_ns);

/** Orders that may run at once now. */
uint32_t admission_limit(const struct admission *a, uint64_t now_ns);

#endif
