/**
 * Admission of requests to the upstream of this node: an adaptive concurrency
 * limit, a queue bounded in length and by deadline, and weighted fair shares
 * between organisations.
 */
#ifndef JD_CORE_ADMISSION_H
#define JD_CORE_ADMISSION_H

#include "core/event.h"
#include "core/limiter.h"
#include "core/list.h"
#include "core/refusal.h"
#include "core/types.h"

enum ticket_state {
	TICKET_IDLE,	/* not queued yet, dropped or ended */
	TICKET_WAITING, /* in the queue */
	TICKET_RUNNING, /* has a slot at the upstream */
};

/**
 * A request's place in the queue, then its slot at the upstream; embedded in
 * the caller's record of the request.
 */
struct ticket {
	struct list link; /* in org_queue.tickets or admission.dropped */
	struct org_queue *org;
	enum ticket_state state;
	uint64_t deadline_ns;
	uint64_t started_ns;
};

/** The requests of one organisation. */
struct org_queue {
	struct list link; /* in admission.orgs */
	char name[JD_NAME_MAX];
	uint32_t weight;
	uint32_t waiting;
	uint32_t running;
	double virtual_time_ns; /* sum of service times, divided by weight */
	uint64_t service_ns;	/* moving average; 0: unknown */
	uint32_t peak_running;	/* maximum of running in this period */
	uint32_t previous_peak; /* in the period before */
	uint64_t peak_end_ns;	/* end of this period */
	struct list tickets;	/* of struct ticket, oldest first */
};

struct admission {
	struct limiter limiter;
	uint64_t instance; /* of the upstream; 0: not announced yet */
	uint32_t slots;
	uint32_t load_permille; /* as announced; lags behind */
	uint64_t silent_at_ns;	/* the upstream counts as down from then on */
	/* Draining: no new requests from then on; 0: not draining. */
	uint64_t drain_deadline_ns;
	uint64_t service_ns;   /* moving average over all requests */
	double virtual_now_ns; /* virtual_time_ns of the queue served last */
	struct list orgs;      /* of struct org_queue */
	struct list dropped;   /* of struct ticket */
	uint32_t waiting;
	uint32_t running;
	uint64_t refused;
};

void admission_init(struct admission *a);
/** Frees the queues; the tickets belong to the caller. */
void admission_done(struct admission *a);

/**
 * Applies an announcement of the upstream. It can only restrict the adaptive
 * limit, which grows by answers alone.
 */
void admission_on_announcement(struct admission *a,
			       const struct ev_announcement *ann,
			       uint64_t now_ns);

struct ticket_opts {
	const char *organisation; /* "": not in the manifest */
	uint32_t weight;	  /* 0 counts as 1 */
	uint64_t deadline_ns;
	bool any; /* another upstream may serve it */
};

/**
 * Queues @t and returns REFUSAL_NONE, or returns why it was refused. Either
 * may displace other tickets: call admission_pop_dropped() and
 * admission_start_next() until they return NULL afterwards.
 */
enum refusal admission_enqueue(struct admission *a, struct ticket *t,
			       const struct ticket_opts *o, uint64_t now_ns);

/**
 * Gives a slot to the next waiting ticket and returns it; NULL when none waits
 * or no slot is free for it.
 */
struct ticket *admission_start_next(struct admission *a, uint64_t now_ns);

/**
 * Returns a ticket that was removed from the queue because its request can't
 * run any more or was displaced, and sets @why; NULL when there is none.
 */
struct ticket *admission_pop_dropped(struct admission *a, uint64_t now_ns,
				     enum refusal *why);

/**
 * Ends the request of @t, whatever its state, and frees its slot or its place
 * in the queue.
 */
void admission_end(struct admission *a, struct ticket *t, enum request_end end,
		   uint64_t now_ns);

/** Number of requests that may run at once. */
uint32_t admission_limit(const struct admission *a, uint64_t now_ns);

#endif
