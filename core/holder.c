#include "core/holder.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"

/* Left of the authority for an answer that is on its way. */
#define GRANT_MARGIN_NS (50 * NS_PER_MS)
/* A shorter lease would end before the next announcement renews it. */
#define GRANT_LEAST_NS	(150 * NS_PER_MS)
/* An answer may have 4096 bytes; the rest of a larger grant is left out. */
#define GRANT_BYTES_MAX 3900
/* Two keys, a fence and the marks between them, without a handover. */
#define GRANT_ROW_BYTES 25
/* The announcement was sent that much before it came, at most as a rule. */
#define BEAT_TRANSIT_NS (100 * NS_PER_MS)
#define WRITE_AGAIN_NS	(150 * NS_PER_MS)
#define LOOK_AGAIN_NS	(20 * NS_PER_MS)
#define PROBE_AGAIN_NS	(300 * NS_PER_MS)
/* Announcements missed before the upstream's address is probed. */
#define MISSED_BEATS	2
/* Missed before no new requests go to it. */
#define SILENT_BEATS	4

static uint64_t drifted(uint64_t hold_ns)
{
	return hold_ns + hold_ns / 1000000 * HOLD_DRIFT_PPM + NS_PER_MS;
}

void holder_init(struct holder *h, const struct mesh_opts *o, uint64_t now_ns)
{
	memset(h, 0, sizeof(*h));
	list_init(&h->granted);
	list_init(&h->held);
	list_init(&h->released);
	list_init(&h->granted_before);
	list_init(&h->moving);
	h->unknown_until_ns = now_ns + drifted(o->hold_max_ns);
	h->heard_ns = now_ns;
}

static void released_delete(struct list *rows)
{
	struct released_row *r, *tmp;

	list_for_each_entry_safe(r, tmp, rows, link) {
		list_remove(&r->link);
		free(r);
	}
}

void holder_done(struct holder *h)
{
	held_rows_delete(&h->granted);
	held_rows_delete(&h->held);
	released_delete(&h->released);
	held_rows_delete(&h->granted_before);
	held_rows_delete(&h->moving);
}

static const struct dir_keymap *own_map(const struct mesh_ctx *c)
{
	return directory_keymap(&c->dir, c->opts->service);
}

bool holder_leaving(const struct holder *h, const struct mesh_ctx *c)
{
	return h->draining || directory_evacuated(&c->dir, c->opts->dc);
}

bool holder_accepts_requests(const struct holder *h, const struct mesh_ctx *c)
{
	return h->known && !h->gone && !holder_leaving(h, c) &&
	       c->now_ns < h->heard_ns + SILENT_BEATS * c->opts->announce_ns;
}

bool holder_holds_key(const struct holder *h, uint32_t key, uint64_t now_ns)
{
	const struct held_row *r;

	if (now_ns >= h->usable_until_ns)
		return false;
	list_for_each_entry(r, &h->granted, link)
		if (key >= r->from && key <= r->to)
			return true;
	return false;
}

static void new_lifetime(struct holder *h, struct mesh_ctx *c,
			 const struct upstream_heartbeat *b)
{
	mesh_log(c->out, LOG_INFO,
		 "event=upstream_started instance=%s born=%lu before=%s "
		 "addr=%s slots=%u",
		 b->instance, (unsigned long)b->born, h->id.instance, b->addr,
		 b->slots);
	h->known = true;
	mem_copy_str(h->id.node, c->opts->node, sizeof(h->id.node));
	mem_copy_str(h->id.instance, b->instance, sizeof(h->id.instance));
	h->id.born = b->born;
	h->draining = false;
	held_rows_delete(&h->granted);
	held_rows_delete(&h->granted_before);
	released_delete(&h->released);
	/* The one before it has ended, and with it all that it held. */
	h->usable_until_ns = 0;
	h->cold_until_ns = 0;
	/* What a process before this one granted, it lists itself. */
	h->unknown_until_ns = 0;
	h->granted_until_ns =
		list_empty(&b->held)
			? 0
			: c->now_ns + drifted(c->opts->hold_max_ns);
}

/* One lifetime follows another at the same VM; a later one began later. */
static bool is_stale(const struct holder *h, const struct upstream_heartbeat *b)
{
	if (!h->known)
		return false;
	if (b->born != h->id.born)
		return b->born < h->id.born;
	return !strcmp(b->instance, h->id.instance) &&
	       b->sequence <= h->sequence;
}

static void take_released(struct holder *h, struct upstream_heartbeat *b)
{
	const struct held_row *r;

	list_for_each_entry(r, &b->released, link) {
		struct released_row *n = mem_new(struct released_row);

		n->from = r->from;
		n->to = r->to;
		mem_copy_str(n->handover, r->handover, sizeof(n->handover));
		list_push_front(&h->released, &n->link);
	}
}

static bool overlaps(const struct list *rows, uint32_t from, uint32_t to)
{
	const struct held_row *r;

	list_for_each_entry(r, rows, link)
		if (r->from <= to && from <= r->to)
			return true;
	return false;
}

static bool to_leave(const struct holder *h, const struct mesh_ctx *c,
		     const struct keyrow *r)
{
	return r->target[0] || holder_leaving(h, c);
}

/* The proof of the owner before is of use until the upstream has the row. */
static bool holds_already(const struct holder *h, const struct keyrow *r)
{
	const struct held_row *it;

	list_for_each_entry(it, &h->held, link)
		if (it->from <= r->from && r->to <= it->to &&
		    it->fence == r->fence)
			return true;
	return false;
}

static void add_granted(struct list *rows, const struct keyrow *r)
{
	struct held_row *n = mem_new(struct held_row);

	n->from = r->from;
	n->to = r->to;
	n->fence = r->fence;
	mem_copy_str(n->handover, r->handover, sizeof(n->handover));
	list_push_back(rows, &n->link);
}

/* What the upstream may hold, and for how long; 0 when there is no telling. */
static uint64_t fill_grants(struct holder *h, struct mesh_ctx *c,
			    const struct session *s, struct list *rows)
{
	const struct dir_keymap *k = own_map(c);
	uint64_t until = session_authority_ns(s);
	uint64_t left = until > c->now_ns + GRANT_MARGIN_NS
				? until - c->now_ns - GRANT_MARGIN_NS
				: 0;
	uint64_t hold =
		left - left / (1000000 + HOLD_DRIFT_PPM) * HOLD_DRIFT_PPM;
	const struct keyrow *r;
	struct held_row *last;
	size_t bytes = 0;
	uint32_t cut = 0;

	if (hold > c->opts->hold_max_ns)
		hold = c->opts->hold_max_ns;
	if (!k || hold < GRANT_LEAST_NS)
		return 0;
	list_for_each_entry(r, &k->map->rows, link) {
		if (!holder_equal(&r->owner, &h->id) || to_leave(h, c, r) ||
		    overlaps(&h->moving, r->from, r->to))
			continue;
		if (bytes > GRANT_BYTES_MAX) {
			cut++;
			continue;
		}
		add_granted(rows, r);
		last = list_entry(rows->prev, struct held_row, link);
		if (holds_already(h, r))
			last->handover[0] = '\0';
		bytes += GRANT_ROW_BYTES + strlen(last->handover);
	}
	if (cut)
		mesh_log(c->out, LOG_WARN,
			 "event=grant_cut why=answer_size rows_left_out=%u",
			 cut);
	return hold;
}

static void answer(struct holder *h, struct mesh_ctx *c,
		   const struct session *s, uint64_t handle)
{
	struct act_heartbeat_reply *a =
		&mesh_actions_add(c->out, MA_HEARTBEAT_REPLY)->u.beat;
	const struct held_row *r;

	a->handle = handle;
	a->hold_ns = fill_grants(h, c, s, &a->rows);
	a->grants = a->hold_ns > 0;
	if (!a->grants)
		return;
	held_rows_delete(&h->granted_before);
	list_splice_back(&h->granted_before, &h->granted);
	list_for_each_entry(r, &a->rows, link) {
		struct held_row *n = mem_dup(r, sizeof(*r));

		list_push_back(&h->granted, &n->link);
	}
	if (c->now_ns + drifted(a->hold_ns) > h->granted_until_ns)
		h->granted_until_ns = c->now_ns + drifted(a->hold_ns);
	h->usable_until_ns = c->now_ns + a->hold_ns - BEAT_TRANSIT_NS;
}

static void acknowledge(struct mesh_ctx *c, uint64_t handle)
{
	mesh_actions_add(c->out, MA_HEARTBEAT_REPLY)->u.beat.handle = handle;
}

static void on_leave(struct holder *h, struct mesh_ctx *c,
		     const struct upstream_heartbeat *b)
{
	acknowledge(c, b->handle);
	if (!h->known || strcmp(b->instance, h->id.instance) != 0 ||
	    (b->born && b->born != h->id.born))
		return;
	if (!h->draining)
		mesh_log(c->out, LOG_INFO, "event=upstream_leaves instance=%s",
			 b->instance);
	h->draining = true;
}

void holder_on_heartbeat(struct holder *h, struct mesh_ctx *c,
			 const struct session *s, struct upstream_heartbeat *b)
{
	if (b->leaves) {
		on_leave(h, c, b);
		return;
	}
	if (is_stale(h, b)) {
		mesh_log(c->out, LOG_INFO,
			 "event=announcement_ignored why=stale instance=%s "
			 "born=%lu sequence=%lu",
			 b->instance, (unsigned long)b->born,
			 (unsigned long)b->sequence);
		acknowledge(c, b->handle);
		return;
	}
	if (!h->known || b->born != h->id.born ||
	    strcmp(b->instance, h->id.instance) != 0)
		new_lifetime(h, c, b);
	if (b->draining && !h->draining)
		mesh_log(c->out, LOG_INFO, "event=upstream_drains instance=%s",
			 b->instance);
	h->draining |= b->draining;
	h->gone = false;
	h->sequence = b->sequence;
	h->heard_ns = c->now_ns;
	h->slots = b->slots;
	mem_copy_str(h->addr, b->addr, sizeof(h->addr));
	h->cold_until_ns = b->cold_left_ns ? c->now_ns + b->cold_left_ns : 0;
	take_released(h, b);
	held_rows_delete(&h->held);
	list_splice_back(&h->held, &b->held);
	answer(h, c, s, b->handle);
}

void holder_on_gone(struct holder *h, struct mesh_ctx *c)
{
	if (h->gone)
		return;
	mesh_log(c->out, LOG_WARN, "event=upstream_gone instance=%s",
		 h->id.instance);
	h->gone = true;
	h->granted_until_ns = 0;
	h->usable_until_ns = 0;
	h->unknown_until_ns = 0;
	held_rows_delete(&h->granted);
	held_rows_delete(&h->held);
}

/* True when no upstream beside this node can hold the row any more. */
static bool given_up(const struct holder *h, const struct mesh_ctx *c,
		     const struct keyrow *r)
{
	bool current = h->known && holder_equal(&r->owner, &h->id);

	if (!current)
		return (h->known && h->id.born > r->owner.born) ||
		       c->now_ns >= h->unknown_until_ns;
	if (h->gone)
		return true;
	if (c->now_ns >= h->granted_until_ns &&
	    c->now_ns >= h->unknown_until_ns)
		return !holder_accepts_requests(h, c);
	if (!to_leave(h, c, r))
		return false;
	/* It has announced itself after an answer that left the row out. */
	return !overlaps(&h->held, r->from, r->to) &&
	       !overlaps(&h->granted_before, r->from, r->to) &&
	       !overlaps(&h->granted, r->from, r->to);
}

static const char *handover_of(const struct holder *h, const struct keyrow *r)
{
	const struct released_row *rel;

	list_for_each_entry(rel, &h->released, link)
		if (rel->from <= r->from && r->to <= rel->to)
			return rel->handover;
	return "";
}

static const struct holder_id *next_owner(const struct holder *h,
					  const struct mesh_ctx *c,
					  const struct keyrow *r,
					  struct list *candidates)
{
	struct keymap_candidate *it;
	struct keymap_candidate *best = NULL;

	list_for_each_entry(it, candidates, link)
		if (r->target[0] && !strcmp(it->id.node, r->target))
			best = it;
	/* A new lifetime takes over what the one before it held. */
	if (!best && h->known && !h->gone && !holder_leaving(h, c) &&
	    !holder_equal(&r->owner, &h->id))
		return &h->id;
	if (!best)
		best = keymap_least_loaded(candidates);
	if (!best)
		return NULL;
	best->keys += r->to - r->from + 1;
	return &best->id;
}

/*
 * The upstream that has followed the row's owner at another node, by that
 * node's card: the owner has ended. When a fleet restarts, each write takes
 * along what others would have to write on the same record after it.
 */
static const struct holder_id *successor(const struct mesh_ctx *c,
					 const struct keyrow *r)
{
	const struct dir_node *n = directory_node(&c->dir, r->owner.node);

	if (!n || !n->revision || n->card.draining ||
	    !n->card.upstream.instance[0] ||
	    strcmp(n->card.service, c->opts->service) != 0 ||
	    n->card.upstream.born <= r->owner.born)
		return NULL;
	return &n->card.upstream;
}

static uint32_t help_rows(const struct mesh_ctx *c, struct keymap *map)
{
	const struct holder_id *to;
	struct keyrow *r;
	uint32_t keys = 0;

	list_for_each_entry(r, &map->rows, link) {
		if (!strcmp(r->owner.node, c->opts->node))
			continue;
		to = successor(c, r);
		if (!to)
			continue;
		keymap_move(map, r, to, "");
		keys += r->to - r->from + 1;
	}
	return keys;
}

static uint32_t move_rows(struct holder *h, struct mesh_ctx *c,
			  struct keymap *map)
{
	struct list candidates;
	struct keyrow *r;
	uint32_t keys = 0;

	list_init(&candidates);
	directory_candidates(&c->dir, map->service, c->now_ns, &candidates);
	list_for_each_entry(r, &map->rows, link) {
		const struct holder_id *to;
		bool current = holder_equal(&r->owner, &h->id);

		if (strcmp(r->owner.node, c->opts->node) != 0 ||
		    !given_up(h, c, r))
			continue;
		to = next_owner(h, c, r, &candidates);
		if (!to || holder_equal(to, &r->owner))
			continue;
		add_granted(&h->moving, r);
		keymap_move(map, r, to, current ? handover_of(h, r) : "");
		keys += r->to - r->from + 1;
	}
	candidates_delete(&candidates);
	return keys;
}

/* Cheap, as it is asked all the time: copies and candidates come later. */
static bool any_to_move(const struct holder *h, const struct mesh_ctx *c,
			const struct keymap *map)
{
	const struct keyrow *r;

	list_for_each_entry(r, &map->rows, link)
		if (!strcmp(r->owner.node, c->opts->node) && given_up(h, c, r))
			return true;
	return false;
}

static void write_moves(struct holder *h, struct mesh_ctx *c,
			const struct dir_keymap *k)
{
	struct keymap *map = keymap_copy(k->map);
	uint32_t keys = move_rows(h, c, map);
	struct act_store_call *a;
	struct record *rec;
	uint32_t helped;

	if (!keys && !h->write_unsure) {
		keymap_delete(map);
		return;
	}
	helped = help_rows(c, map);
	mesh_log(c->out, LOG_INFO,
		 "event=keys_moved keys=%u from=%s revision=%lu leaving=%d "
		 "gone=%d for_others=%u",
		 keys, h->id.instance, (unsigned long)k->revision,
		 holder_leaving(h, c), h->gone, helped);
	keymap_merge_rows(map);
	rec = record_new(RECORD_KEYMAP, map->service);
	rec->u.keymap = map;
	a = mesh_store_call(c, CALL_WRITE);
	mesh_expect_revision(a, RECORD_KEYMAP, map->service, k->revision);
	list_push_back(&a->puts, &rec->link);
	h->write_op = a->op;
	h->write_revision = k->revision;
	h->write_unsure = true;
	h->write_wait_ns = c->now_ns + WRITE_AGAIN_NS;
	h->moved_keys += keys;
}

bool holder_on_end(struct holder *h, struct mesh_ctx *c,
		   const struct ev_store_end *e)
{
	if (!h->write_op || e->op != h->write_op)
		return false;
	h->write_op = 0;
	h->next_write_ns =
		e->end == STORE_DONE ? c->now_ns : c->now_ns + WRITE_AGAIN_NS;
	return true;
}

static bool wants_probe(const struct holder *h, const struct mesh_ctx *c)
{
	return !h->gone && c->now_ns >= h->next_probe_ns &&
	       c->now_ns > h->heard_ns + MISSED_BEATS * c->opts->announce_ns;
}

void holder_work(struct holder *h, struct mesh_ctx *c)
{
	const struct dir_keymap *k = own_map(c);

	if (wants_probe(h, c)) {
		h->next_probe_ns = c->now_ns + PROBE_AGAIN_NS;
		mesh_actions_add(c->out, MA_PROBE_UPSTREAM);
	}
	if (!k || c->store_down || h->write_op || c->now_ns < h->next_write_ns)
		return;
	if (h->write_unsure && k->revision > h->write_revision) {
		h->write_unsure = false;
		held_rows_delete(&h->moving);
	}
	if (h->write_unsure && c->now_ns < h->write_wait_ns)
		return;
	/* A write whose end is unknown is overtaken, even with no change. */
	if (h->write_unsure || any_to_move(h, c, k->map))
		write_moves(h, c, k);
	h->next_write_ns = c->now_ns + LOOK_AGAIN_NS;
}

uint64_t holder_next_ns(const struct holder *h)
{
	return h->next_write_ns < h->next_probe_ns ? h->next_write_ns
						   : h->next_probe_ns;
}
