#include "core/sweep.h"

#include <string.h>

#include "core/placement.h"

#define RETRY_NS	(50 * NS_PER_MS)
#define BACKUP_DELAY_NS (300 * NS_PER_MS)

void sweep_init(struct sweep *s)
{
	memset(s, 0, sizeof(*s));
	list_init(&s->maps);
}

void sweep_done(struct sweep *s)
{
	docs_delete(&s->maps);
}

void sweep_request(struct sweep *s)
{
	s->wanted = true;
	s->as_backup = false;
}

void sweep_request_as_backup(struct sweep *s, struct ctx *c)
{
	incarnation_t planner = view_planner(&c->view).holder;

	if (planner && planner != c->self && !s->wanted) {
		s->as_backup = true;
		s->next_try_ns = c->now_ns + ctx_jitter(c, BACKUP_DELAY_NS);
	}
	s->wanted = true;
}

/* True when the view shows orphaned shards or a keyed route without a map. */
static bool has_orphans(const struct ctx *c)
{
	const struct manifest *m = view_manifest(&c->view);
	const struct route *r;

	if (!m)
		return false;
	list_for_each_entry(r, &m->routes, link) {
		const struct shard_map *map = view_map(&c->view, r->name);

		if (r->kind == ROUTE_KEYED &&
		    (!map || placement_count_orphans(map, &c->view, r)))
			return true;
	}
	return false;
}

static void read_docs(struct ctx *c, enum doc_kind kind)
{
	ctx_call(c, &(struct call_opts){.owner = CALL_SWEEP,
					.kind = STORE_LIST,
					.doc_kind = kind});
}

void sweep_work(struct sweep *s, struct ctx *c)
{
	if (!s->wanted || s->state != SWEEP_IDLE || c->now_ns < s->next_try_ns)
		return;
	s->wanted = false;
	if (s->as_backup && !has_orphans(c))
		return;
	s->as_backup = false;
	s->state = SWEEP_MAPS;
	read_docs(c, DOC_MAP);
}

uint64_t sweep_next_ns(const struct sweep *s)
{
	if (s->state == SWEEP_IDLE && s->wanted)
		return s->next_try_ns;
	return DEADLINE_NEVER;
}

/* Removes the map of @route from those read; an absent one if there is none. */
static struct doc *remove_map(struct sweep *s, const char *route)
{
	struct doc *d;

	list_for_each_entry(d, &s->maps, link) {
		if (strcmp(d->key.name, route) != 0)
			continue;
		list_remove(&d->link);
		return d;
	}
	return doc_new(DOC_MAP, route);
}

static void write_map(struct sweep *s, struct ctx *c, const struct route *r)
{
	struct doc *d = remove_map(s, r->name);
	uint32_t changed;

	if (!d->u.map)
		d->u.map = shard_map_new(r->name, r->shards);
	changed = placement_assign_orphans(d->u.map, &c->view, r);
	if (!changed) {
		doc_delete(d);
		return;
	}
	actions_log(c->out, LOG_INFO, "event=reassign route=%s shards=%u",
		    r->name, changed);
	s->writing++;
	ctx_call(c, &(struct call_opts){.owner = CALL_SWEEP,
					.kind = STORE_CAS,
					.doc_kind = DOC_MAP,
					.name = r->name,
					.revision = d->revision,
					.doc = d});
}

static void write_maps(struct sweep *s, struct ctx *c)
{
	const struct manifest *m = view_manifest(&c->view);
	const struct route *r;

	s->state = SWEEP_WRITE;
	if (m) {
		list_for_each_entry(r, &m->routes, link)
			if (r->kind == ROUTE_KEYED)
				write_map(s, c, r);
	}
	docs_delete(&s->maps);
	if (!s->writing)
		s->state = SWEEP_IDLE;
}

static void retry_later(struct sweep *s, struct ctx *c)
{
	s->wanted = true;
	s->next_try_ns = c->now_ns + ctx_jitter(c, RETRY_NS);
}

static void on_write(struct sweep *s, struct ctx *c, struct ev_store *ev)
{
	if (ev->status != STATUS_OK)
		retry_later(s, c);
	view_apply_all(&c->view, &ev->docs);
	if (--s->writing == 0)
		s->state = SWEEP_IDLE;
}

void sweep_on_store(struct sweep *s, struct ctx *c, const struct call *call,
		    struct ev_store *ev)
{
	if (s->state == SWEEP_WRITE) {
		on_write(s, c, ev);
		return;
	}
	if (ev->status != STATUS_OK) {
		docs_delete(&s->maps);
		s->state = SWEEP_IDLE;
		retry_later(s, c);
		return;
	}
	if (s->state == SWEEP_MAPS) {
		list_splice_back(&s->maps, &ev->docs);
		s->state = SWEEP_ROSTERS;
		read_docs(c, DOC_ROSTER);
		return;
	}
	view_apply_all(&c->view, &ev->docs);
	write_maps(s, c);
}
