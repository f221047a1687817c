#include "core/load/gate_pick.h"

#include <math.h>
#include <string.h>

#include "core/choice.h"
#include "core/mem.h"

/*
 * An owner whose full queue refuses most requests is sent only some of them:
 * about this many times what it takes. Refusals cost its node time, too. From
 * "Site Reliability Engineering" (B. Beyer et al.), client-side throttling.
 */
#define THROTTLE_FACTOR	      2.0
#define THROTTLE_MIN_REQUESTS 2.0
/* In this time half of what an owner did is forgotten. */
#define THROTTLE_HALF_LIFE_NS (double)(2 * NS_PER_S)

static bool has_tried(const struct pending_request *p, const char *node)
{
	for (uint32_t i = 0; i < p->tried_count; i++)
		if (!strcmp(p->tried[i], node))
			return true;
	return false;
}

void pick_mark_tried(struct pending_request *p, const char *node)
{
	if (p->tried_count < DISPATCH_TRIED_MAX)
		mem_copy_str(p->tried[p->tried_count++], node,
			     JD_NODE_NAME_MAX);
}

static bool is_eligible(const struct pending_request *p,
			const struct dir_node *n)
{
	return !strcmp(n->card.service, p->service) &&
	       region_set_allows(&p->regions, n->card.region);
}

static bool may_choose(const struct mesh_ctx *c,
		       const struct pending_request *p,
		       const struct dir_node *n)
{
	return is_eligible(p, n) && !has_tried(p, n->name) &&
	       directory_usable(&c->dir, n, c->now_ns);
}

struct dir_node *pick_gate(struct mesh_ctx *c, const struct pending_request *p,
			   double answer_kb)
{
	struct choice_opts opts = {
		.region = c->opts->region,
		.dc = c->opts->dc,
		.now_ns = c->now_ns,
		.objective_ns = p->objective_at_ns - p->received_ns,
		.kb = (double)p->request->payload.body_len / 1024 + answer_kb,
		.rng = &c->rng,
	};
	struct choice ch;
	struct dir_node *n;

	choice_init(&ch, &opts);
	list_for_each_entry(n, &c->dir.nodes, link)
		if (may_choose(c, p, n))
			choice_measure(&ch, n);
	list_for_each_entry(n, &c->dir.nodes, link)
		if (may_choose(c, p, n))
			choice_draw(&ch, n);
	return ch.picked;
}

struct dir_node *pick_owner(struct mesh_ctx *c, const struct pending_request *p)
{
	const struct dir_keymap *k = directory_keymap(&c->dir, p->service);
	const struct keyrow *row = k ? keymap_find(k->map, p->shard) : NULL;
	struct dir_node *n =
		row ? directory_node(&c->dir, row->owner.node) : NULL;

	if (!n || !is_eligible(p, n) ||
	    !directory_usable(&c->dir, n, c->now_ns))
		return NULL;
	return n;
}

static void decay_throttle(struct dir_node *n, uint64_t now_ns)
{
	double age_ns = (double)(now_ns - n->asked_ns);
	double rest = exp2(-age_ns / THROTTLE_HALF_LIFE_NS);

	n->asked *= rest;
	n->taken *= rest;
	n->asked_ns = now_ns;
}

/* Counts a request for @n; true if it is not to try, as most are refused. */
bool pick_throttled(struct mesh_ctx *c, struct dir_node *n)
{
	double excess;

	decay_throttle(n, c->now_ns);
	excess = n->asked - THROTTLE_FACTOR * n->taken - THROTTLE_MIN_REQUESTS;
	n->asked++;
	return excess > 0 && (double)rng_below(&c->rng, 1000) <
				     1000 * excess / (n->asked + 1);
}
