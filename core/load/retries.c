#include "core/load/retries.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"

/* Share of the retry budget in use, as several nodes spend the same budget. */
#define BUDGET_SHARE	 0.7
/*
 * Of that, what calls leave to other requests: a call that is tried again saves
 * a run, a run that is tried again makes all its calls again.
 */
#define REQUEST_SHARE	 0.75
/* Of that, what each rank leaves to the next one. */
#define NEXT_RANK_SHARE	 0.6
#define SHARED_RANKS_MAX 4

void retries_init(struct retries *r)
{
	memset(r, 0, sizeof(*r));
	list_init(&r->budgets);
}

void retries_done(struct retries *r)
{
	struct service_budget *b, *tmp;

	list_for_each_entry_safe(b, tmp, &r->budgets, link)
		free(b);
}

static struct service_budget *
budget_for(struct retries *r, const struct mesh_ctx *c, const char *service)
{
	struct service_budget *b;

	list_for_each_entry(b, &r->budgets, link)
		if (!strcmp(b->service, service))
			return b;
	b = mem_new(struct service_budget);
	mem_copy_str(b->service, service, sizeof(b->service));
	window_budget_init(&b->window, c->opts->retry_window_ns);
	list_push_back(&r->budgets, &b->link);
	return b;
}

void retries_earn(struct retries *r, const struct mesh_ctx *c,
		  const char *service)
{
	window_budget_earn(&budget_for(r, c, service)->window, c->now_ns);
}

void retries_note_called(struct retries *r, const struct mesh_ctx *c,
			 const char *service)
{
	budget_for(r, c, service)->called_by_services = true;
}

/*
 * True if @b pays for a retry at @service: a retried request makes its calls
 * again, so the services that others call pay, too.
 */
static bool pays_for_retry(const struct service_budget *b, const char *service)
{
	return b->called_by_services || !strcmp(b->service, service);
}

/* The share of the budgets that @claim may use up. */
static double share_of(const struct mesh_ctx *c,
		       const struct retry_claim *claim)
{
	double share = BUDGET_SHARE;

	if (!c->opts->heavy_load)
		return share;
	if (!claim->call)
		share *= REQUEST_SHARE;
	for (uint32_t i = 0; i < claim->rank && i < SHARED_RANKS_MAX; i++)
		share *= NEXT_RANK_SHARE;
	return share;
}

bool retries_has_room(struct retries *r, const struct mesh_ctx *c,
		      const struct retry_claim *claim)
{
	double share = share_of(c, claim);
	double ratio = c->opts->retry_ratio * share;
	double slack;
	const struct dir_node *n;
	struct service_budget *b;
	uint32_t nodes = 0;

	list_for_each_entry(n, &c->dir.nodes, link)
		nodes += n->revision != 0;
	slack = c->opts->retry_slack * share / (nodes ? nodes : 1);
	budget_for(r, c, claim->service);
	list_for_each_entry(b, &r->budgets, link)
		if (pays_for_retry(b, claim->service) &&
		    !window_budget_has_room(&b->window, ratio, slack,
					    c->now_ns))
			return false;
	return true;
}

bool retries_take(struct retries *r, const struct mesh_ctx *c,
		  const struct retry_claim *claim)
{
	struct service_budget *b;

	if (!retries_has_room(r, c, claim)) {
		r->denied++;
		return false;
	}
	list_for_each_entry(b, &r->budgets, link)
		if (pays_for_retry(b, claim->service))
			window_budget_spend(&b->window, c->now_ns);
	r->allowed++;
	return true;
}
