/** Retry budgets of the services, as far as this entry may spend them. */
#ifndef JD_CORE_LOAD_RETRIES_H
#define JD_CORE_LOAD_RETRIES_H

#include "core/mesh_ctx.h"
#include "core/window_budget.h"

struct service_budget {
	struct list link;
	char service[JD_NAME_MAX];
	struct window_budget window;
	/* Other services call it: a retry of theirs repeats the calls. */
	bool called_by_services;
};

struct retries {
	struct list budgets; /* of struct service_budget */
	uint64_t allowed;
	uint64_t denied;
};

void retries_init(struct retries *r);
void retries_done(struct retries *r);

/** Counts the first attempt of an external request to @service. */
void retries_earn(struct retries *r, const struct mesh_ctx *c,
		  const char *service);

/** Notes that other services call @service. */
void retries_note_called(struct retries *r, const struct mesh_ctx *c,
			 const char *service);

/** What a retry is for. */
struct retry_claim {
	const char *service;
	uint32_t rank; /* 0 is the most urgent */
	bool call;     /* a run that has started waits for it */
};

/**
 * True if the budget of the service, and of those it calls, has room. Under
 * heavy load a part of each is kept for calls, and a part of the rest for more
 * urgent ranks.
 */
bool retries_has_room(struct retries *r, const struct mesh_ctx *c,
		      const struct retry_claim *claim);

/** Takes a retry out of the budgets; false if they have no room. */
bool retries_take(struct retries *r, const struct mesh_ctx *c,
		  const struct retry_claim *claim);

#endif
