#include "core/ctx.h"

#include <stdlib.h>

#include "core/mem.h"

/* A keeper renews its contact at least this many times in authority_ns. */
#define CONTACTS_PER_AUTHORITY 3

const struct timing timing_default = {
	.heartbeat_ns = 250 * NS_PER_MS,
	.lease_ns = 1200 * NS_PER_MS,
	.detect_ns = 750 * NS_PER_MS,
	/* Regions, and so the store, may be unreachable for an hour. */
	.authority_ns = 2 * 3600 * NS_PER_S,
	.contact_ns = 5 * NS_PER_S,
	.store_timeout_ns = 1500 * NS_PER_MS,
	.watch_timeout_ns = 5 * NS_PER_S,
	.drift_ppm = 10000,
};

void ctx_init(struct ctx *c, const struct node_opts *opts)
{
	c->opts = opts;
	view_init(&c->view);
	rng_init(&c->rng, opts->seed);
	c->self = rng_next(&c->rng);
	c->boot = c->self;
	c->authority_period = 0;
	c->next_op = 1;
	list_init(&c->calls);
	c->now_ns = 0;
	c->out = NULL;
}

void ctx_done(struct ctx *c)
{
	struct call *call, *tmp;

	list_for_each_entry_safe(call, tmp, &c->calls, link)
		free(call);
	view_done(&c->view);
}

void ctx_call(struct ctx *c, const struct call_opts *o)
{
	struct call *call = mem_new(struct call);
	struct act_store *s = &actions_add(c->out, ACT_STORE)->u.store;
	bool waits = o->kind == STORE_WATCH && o->revision;

	call->op = c->next_op++;
	call->owner = o->owner;
	call->kind = o->kind;
	call->key.kind = o->doc_kind;
	mem_copy_str(call->key.name, o->name ? o->name : "",
		     sizeof(call->key.name));
	call->revision = o->revision;
	call->sent_ns = c->now_ns;
	call->authority_period = c->authority_period;
	call->step = o->step;
	list_push_back(&c->calls, &call->link);
	s->op = call->op;
	s->kind = o->kind;
	s->key = call->key;
	s->revision = o->revision;
	s->deadline_ns = c->now_ns + (waits ? c->opts->timing.watch_timeout_ns
					    : c->opts->timing.store_timeout_ns);
	s->ttl_ms = o->ttl_ms;
	s->doc = o->doc;
}

struct call *ctx_remove_call(struct ctx *c, uint64_t op)
{
	struct call *call;

	list_for_each_entry(call, &c->calls, link) {
		if (call->op != op)
			continue;
		list_remove(&call->link);
		return call;
	}
	return NULL;
}

bool ctx_call_pending(const struct ctx *c, enum call_owner owner)
{
	const struct call *call;

	list_for_each_entry(call, &c->calls, link)
		if (call->owner == owner)
			return true;
	return false;
}

void ctx_send(struct ctx *c, incarnation_t to, const char *addr,
	      struct message *m)
{
	m->from = c->self;
	m->to = to;
	actions_send(c->out, addr, m);
}

uint64_t ctx_jitter(struct ctx *c, uint64_t t_ns)
{
	return t_ns - t_ns / 4 + rng_below(&c->rng, t_ns / 2 + 1);
}

uint64_t timing_contact_ns(const struct timing *t)
{
	uint64_t longest = t->authority_ns / CONTACTS_PER_AUTHORITY;

	return t->contact_ns < longest ? t->contact_ns : longest;
}
