#include "core/load/gate_pick.h"

#include <string.h>

#include "core/choice.h"
#include "core/mem.h"

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

void pick_mark_left(struct mesh_ctx *c, const struct pending_request *p)
{
	struct dir_node *n = directory_node(&c->dir, p->gate_node);

	if (n && n->boot == p->gate_boot)
		even_note_ended(&n->even);
}

void pick_note_pace(struct mesh_ctx *c, const struct pending_request *p,
		    struct dir_node *n, uint64_t route_ns)
{
	struct even_answer a = {
		.service = p->service,
		.route = p->route,
		.route_ns = route_ns,
		.service_ns = n->load.service_ns,
	};

	if (c->opts->heavy_load)
		even_note_pace(&c->dir.even, &n->even, &a);
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
		.even = c->opts->heavy_load
				? even_service_for(&c->dir.even, p->service)
				: NULL,
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

/* Work at one gate in slots times ns, and its slots. */
struct backlog {
	double work;
	double slots;
};

static void backlog_add(struct backlog *b, const struct dir_node *n)
{
	b->work += (double)(n->load.waiting + n->unreported_requests) *
		   (double)n->load.service_ns;
	b->slots += n->load.limit;
}

uint64_t pick_expected_wait_ns(const struct mesh_ctx *c,
			       const struct pending_request *p)
{
	struct backlog b = {0};
	const struct dir_node *n;

	if (p->keyed) {
		n = directory_node(&c->dir, p->gate_node);
		if (n)
			backlog_add(&b, n);
	} else {
		list_for_each_entry(n, &c->dir.nodes, link)
			if (is_eligible(p, n) &&
			    directory_usable(&c->dir, n, c->now_ns))
				backlog_add(&b, n);
	}
	return b.slots > 0 ? (uint64_t)(b.work / b.slots) : 0;
}

/* Without heavy load all requests are of one class. */
static struct throttle *throttle_for(const struct mesh_ctx *c,
				     const struct pending_request *p,
				     struct dir_node *n)
{
	return &n->throttle[c->opts->heavy_load
				    ? throttle_class(p->priority, p->call)
				    : 0];
}

bool pick_throttled(struct mesh_ctx *c, const struct pending_request *p,
		    struct dir_node *n)
{
	struct throttle *t = throttle_for(c, p, n);
	bool drops = throttle_drops(t, &c->rng, c->now_ns);

	/* Under heavy load one on its way does not count as refused. */
	if (drops || !c->opts->heavy_load)
		throttle_note_asked(t);
	return drops;
}

void pick_note_answer(struct mesh_ctx *c, const struct pending_request *p,
		      struct dir_node *n, enum refusal why)
{
	struct throttle *t = throttle_for(c, p, n);

	if (c->opts->heavy_load)
		throttle_note_asked(t);
	if (why != REFUSAL_QUEUE_FULL && why != REFUSAL_NO_ROOM)
		throttle_note_taken(t);
}
