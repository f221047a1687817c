#include "core/holder.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"

/* Part of the authority kept back for the transit of the answer. */
#define GRANT_MARGIN_NS		   (50 * NS_PER_MS)
/* A shorter grant would end before the next announcement renews it. */
#define GRANT_MIN_NS		   (150 * NS_PER_MS)
/* An answer may have 4096 bytes; further rows are left out of the grant. */
#define GRANT_BYTES_MAX		   3900
/* A row's two keys and punctuation, without its fence and handover. */
#define GRANT_ROW_BYTES		   18
/* An announcement rarely takes longer than this to arrive. */
#define ANNOUNCEMENT_TRANSIT_NS	   (100 * NS_PER_MS)
#define WRITE_RETRY_NS		   (150 * NS_PER_MS)
#define MOVE_CHECK_NS		   (20 * NS_PER_MS)
/*
 * Owners that have to give rows up release them one after the other, so that
 * their writes of the one keymap seldom conflict and no keys wait for one.
 */
#define RELEASE_GAP_NS		   (150 * NS_PER_MS)
/* A newer keymap than the one of a write that conflicted comes within this. */
#define OUTDATED_MAX_NS		   NS_PER_S
#define PROBE_INTERVAL_NS	   (300 * NS_PER_MS)
/* Missed announcements after which the upstream's address is probed. */
#define PROBE_AFTER_ANNOUNCEMENTS  2
/* Missed announcements after which it gets no new requests. */
#define SILENT_AFTER_ANNOUNCEMENTS 4

/* The longest real time that @hold_ns may last on an upstream's clock. */
static uint64_t with_clock_drift(uint64_t hold_ns)
{
	return hold_ns + hold_ns / 1000000 * HOLD_DRIFT_PPM + NS_PER_MS;
}

void holder_init(struct holder *h, const struct mesh_opts *o, uint64_t now_ns)
{
	memset(h, 0, sizeof(*h));
	list_init(&h->granted);
	list_init(&h->own_rows);
	list_init(&h->held);
	list_init(&h->released);
	list_init(&h->granted_previous);
	list_init(&h->moving);
	list_init(&h->carried);
	h->earlier_grants_until_ns = now_ns + with_clock_drift(o->hold_max_ns);
	h->heard_ns = now_ns;
}

static void released_rows_delete(struct list *rows)
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
	released_rows_delete(&h->released);
	held_rows_delete(&h->granted_previous);
	held_rows_delete(&h->moving);
	held_rows_delete(&h->carried);
	free(h->long_instance);
}

/* As the store's present era shows it; NULL if it has not yet. */
static const struct dir_keymap *own_keymap(const struct mesh_ctx *c)
{
	const struct dir_keymap *k =
		directory_keymap(&c->dir, c->opts->service);

	return k && directory_keymap_current(&c->dir, k) ? k : NULL;
}

bool holder_leaving(const struct holder *h, const struct mesh_ctx *c)
{
	return h->draining || directory_dc_evacuated(&c->dir, c->opts->dc);
}

bool holder_accepts_requests(const struct holder *h, const struct mesh_ctx *c)
{
	return h->known && !h->gone && !holder_leaving(h, c) &&
	       c->now_ns < h->heard_ns + SILENT_AFTER_ANNOUNCEMENTS *
						 c->opts->announce_interval_ns;
}

static const struct held_row *usable_row(const struct holder *h, uint32_t key,
					 uint64_t now_ns)
{
	const struct held_row *r;

	if (now_ns >= h->usable_until_ns)
		return NULL;
	list_for_each_entry(r, &h->granted, link)
		if (key >= r->from && key <= r->to)
			return r;
	return NULL;
}

bool holder_holds_key(const struct holder *h, uint32_t key, uint64_t now_ns)
{
	return usable_row(h, key, now_ns) != NULL;
}

uint64_t holder_key_fence(const struct holder *h, uint32_t key, uint64_t now_ns)
{
	const struct held_row *r = usable_row(h, key, now_ns);

	return r ? r->fence : 0;
}

const char *holder_instance(const struct holder *h)
{
	return h->long_instance ? h->long_instance : h->id.instance;
}

static void start_lifetime(struct holder *h, struct mesh_ctx *c,
			   struct upstream_announcement *ann)
{
	mesh_log(c->out, LOG_INFO,
		 "event=upstream_started instance=%s born=%lu before=%s "
		 "addr=%s slots=%u",
		 ann->instance, (unsigned long)ann->born, h->id.instance,
		 ann->addr, ann->slots);
	h->known = true;
	mem_copy_str(h->id.node, c->opts->node, sizeof(h->id.node));
	mem_copy_str(h->id.instance, ann->instance, sizeof(h->id.instance));
	h->id.born = ann->born;
	free(h->long_instance);
	h->long_instance = ann->long_instance;
	ann->long_instance = NULL;
	h->draining = false;
	held_rows_delete(&h->granted);
	held_rows_delete(&h->granted_previous);
	released_rows_delete(&h->released);
	/* The previous lifetime has ended, and its grants with it. */
	h->usable_until_ns = 0;
	h->cold_until_ns = 0;
	/* Grants of an earlier process of the node are in @ann->held, too. */
	h->earlier_grants_until_ns = 0;
	h->granted_until_ns =
		list_empty(&ann->held)
			? 0
			: c->now_ns + with_clock_drift(c->opts->hold_max_ns);
}

/*
 * A VM's upstream has one lifetime at a time, so an announcement of an earlier
 * lifetime is out of date.
 */
static bool is_stale(const struct holder *h,
		     const struct upstream_announcement *ann)
{
	if (!h->known)
		return false;
	if (ann->born != h->id.born)
		return ann->born < h->id.born;
	return !strcmp(ann->instance, h->id.instance) &&
	       ann->sequence <= h->sequence;
}

static void store_released(struct holder *h, struct upstream_announcement *ann)
{
	const struct held_row *r;

	list_for_each_entry(r, &ann->released, link) {
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

static bool must_release(const struct holder *h, const struct mesh_ctx *c,
			 const struct keyrow *r)
{
	return (r->target[0] && h->release_at_ns &&
		c->now_ns >= h->release_at_ns) ||
	       holder_leaving(h, c);
}

/* True if a row of @rows with the fence of @r covers it. */
static bool covers(const struct list *rows, const struct keyrow *r)
{
	const struct held_row *it;

	list_for_each_entry(it, rows, link)
		if (it->from <= r->from && r->to <= it->to &&
		    it->fence == r->fence)
			return true;
	return false;
}

/* True if all keys of @held are this upstream's under the same fence. */
static bool still_own(const struct holder *h, const struct dir_keymap *k,
		      const struct held_row *held)
{
	const struct keyrow *r;

	list_for_each_entry(r, &k->map->rows, link)
		if (r->from <= held->to && held->from <= r->to &&
		    (!holder_equal(&r->owner, &h->id) ||
		     r->fence != held->fence))
			return false;
	return true;
}

/*
 * Once the store has shown another owner or fence of a carried row, it is not
 * held without a break any more, even if a late write brings the row back.
 */
static void drop_moved_rows(struct holder *h, const struct dir_keymap *k)
{
	struct held_row *r, *tmp;

	if (k->revision == h->carried_checked)
		return;
	h->carried_checked = k->revision;
	list_for_each_entry_safe(r, tmp, &h->carried, link) {
		if (still_own(h, k, r))
			continue;
		list_remove(&r->link);
		free(r);
	}
}

/*
 * A row that got its fence in an earlier era may have been moved since by a
 * write that the store forgot, unless this node has held it throughout.
 */
static bool owner_certain(const struct holder *h, const struct mesh_ctx *c,
			  const struct keyrow *r)
{
	uint64_t base = directory_fence_base(&c->dir);

	return !base || r->fence > base || covers(&h->carried, r);
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

static size_t decimal_digits(uint64_t n)
{
	size_t digits = 1;

	while (n /= 10)
		digits++;
	return digits;
}

/*
 * Fills @rows with the rows that the upstream may hold and returns for how
 * long it may; 0 if no grant is possible now.
 */
static uint64_t fill_grants(struct holder *h, struct mesh_ctx *c,
			    const struct session *s, struct list *rows)
{
	const struct dir_keymap *k = own_keymap(c);
	uint64_t authority_until_ns = session_authority_ns(s);
	uint64_t authority_left_ns =
		authority_until_ns > c->now_ns + GRANT_MARGIN_NS
			? authority_until_ns - c->now_ns - GRANT_MARGIN_NS
			: 0;
	uint64_t hold_ns =
		authority_left_ns -
		authority_left_ns / (1000000 + HOLD_DRIFT_PPM) * HOLD_DRIFT_PPM;
	const struct keyrow *r;
	struct held_row *last;
	size_t bytes = 0;
	uint32_t rows_left_out = 0;

	if (hold_ns > c->opts->hold_max_ns)
		hold_ns = c->opts->hold_max_ns;
	if (!k || hold_ns < GRANT_MIN_NS)
		return 0;
	drop_moved_rows(h, k);
	list_for_each_entry(r, &k->map->rows, link) {
		if (!holder_equal(&r->owner, &h->id) || must_release(h, c, r) ||
		    overlaps(&h->moving, r->from, r->to) ||
		    !owner_certain(h, c, r))
			continue;
		if (bytes > GRANT_BYTES_MAX) {
			rows_left_out++;
			continue;
		}
		add_granted(rows, r);
		last = list_entry(rows->prev, struct held_row, link);
		/* It is needed until the upstream has the row. */
		if (covers(&h->held, r))
			last->handover[0] = '\0';
		bytes += GRANT_ROW_BYTES + decimal_digits(r->fence) +
			 strlen(last->handover);
	}
	if (rows_left_out)
		mesh_log(c->out, LOG_WARN,
			 "event=grant_cut why=answer_size rows_left_out=%u",
			 rows_left_out);
	return hold_ns;
}

static void answer_announcement(struct holder *h, struct mesh_ctx *c,
				const struct session *s, uint64_t handle)
{
	struct act_announcement_reply *a =
		&mesh_actions_add(c->out, MA_ANNOUNCEMENT_REPLY)
			 ->u.announcement_reply;
	const struct held_row *r;

	a->handle = handle;
	a->hold_ns = fill_grants(h, c, s, &a->rows);
	a->grants = a->hold_ns > 0;
	if (!a->grants)
		return;
	held_rows_delete(&h->granted_previous);
	list_splice_back(&h->granted_previous, &h->granted);
	list_for_each_entry(r, &a->rows, link) {
		struct held_row *n = mem_dup(r, sizeof(*r));

		list_push_back(&h->granted, &n->link);
	}
	if (c->now_ns + with_clock_drift(a->hold_ns) > h->granted_until_ns)
		h->granted_until_ns = c->now_ns + with_clock_drift(a->hold_ns);
	h->usable_until_ns = c->now_ns + a->hold_ns - ANNOUNCEMENT_TRANSIT_NS;
}

/* The card of an earlier process of this node; NULL if the store has none. */
static const struct node_card *earlier_card(const struct mesh_ctx *c)
{
	const struct dir_node *n = directory_node(&c->dir, c->opts->node);

	return n && n->revision && n->card.boot != c->opts->boot ? &n->card
								 : NULL;
}

static void note_left(struct holder *h, const struct mesh_ctx *c,
		      const char *instance, uint64_t born)
{
	if (born < h->left.born)
		return;
	mem_copy_str(h->left.node, c->opts->node, sizeof(h->left.node));
	mem_copy_str(h->left.instance, instance, sizeof(h->left.instance));
	h->left.born = born;
}

/*
 * An announcement from before its leave may arrive after it, also at a process
 * that started meanwhile: the card of the earlier process shows the leave.
 */
static void apply_leave(struct holder *h, struct mesh_ctx *c)
{
	const struct node_card *card = earlier_card(c);

	if (card && card->draining)
		note_left(h, c, card->upstream.instance, card->upstream.born);
	if (h->draining || !h->known ||
	    strcmp(h->left.instance, h->id.instance) != 0 ||
	    h->left.born < h->id.born)
		return;
	mesh_log(c->out, LOG_INFO,
		 "event=upstream_drains instance=%s why=left_before",
		 h->id.instance);
	h->draining = true;
}

static void acknowledge(struct mesh_ctx *c, uint64_t handle)
{
	mesh_actions_add(c->out, MA_ANNOUNCEMENT_REPLY)
		->u.announcement_reply.handle = handle;
}

static void refuse_pending_ack(struct holder *h, struct mesh_ctx *c)
{
	struct act_announcement_reply *a;

	if (!h->pending_ack.due)
		return;
	h->pending_ack.due = false;
	a = &mesh_actions_add(c->out, MA_ANNOUNCEMENT_REPLY)
		     ->u.announcement_reply;
	a->handle = h->pending_ack.handle;
	a->refuse = true;
}

static void acknowledge_later(struct holder *h, struct mesh_ctx *c,
			      const struct upstream_announcement *ann)
{
	refuse_pending_ack(h, c);
	h->pending_ack = (struct pending_ack){
		.due = true, .leaves = ann->leaves, .handle = ann->handle};
}

/*
 * True if the store has the card that says that the upstream leaves: this
 * process may end before its next write.
 */
static bool leave_is_stored(const struct holder *h, const struct session *s)
{
	return session_card_revision(s) && s->card.draining &&
	       holder_equal(&s->card.upstream, h->known ? &h->id : &h->left);
}

static void answer_pending_ack(struct holder *h, struct mesh_ctx *c,
			       const struct session *s)
{
	if (!h->pending_ack.due || !leave_is_stored(h, s))
		return;
	h->pending_ack.due = false;
	if (h->pending_ack.leaves)
		acknowledge(c, h->pending_ack.handle);
	else
		answer_announcement(h, c, s, h->pending_ack.handle);
}

static void on_leave(struct holder *h, struct mesh_ctx *c,
		     const struct session *s,
		     const struct upstream_announcement *ann)
{
	bool current = h->known && !strcmp(ann->instance, h->id.instance);

	if (!current || !h->draining)
		mesh_log(c->out, LOG_INFO,
			 "event=upstream_leaves instance=%s known=%d",
			 ann->instance, current);
	if (current)
		h->draining = true;
	else
		note_left(h, c, ann->instance, ann->born);
	/* The card names the lifetime that this process knows. */
	if ((h->known && !current) || leave_is_stored(h, s))
		acknowledge(c, ann->handle);
	else
		acknowledge_later(h, c, ann);
}

void holder_on_announcement(struct holder *h, struct mesh_ctx *c,
			    const struct session *s,
			    struct upstream_announcement *ann)
{
	if (ann->leaves) {
		on_leave(h, c, s, ann);
		return;
	}
	if (is_stale(h, ann)) {
		mesh_log(c->out, LOG_INFO,
			 "event=announcement_ignored why=stale instance=%s "
			 "born=%lu sequence=%lu",
			 ann->instance, (unsigned long)ann->born,
			 (unsigned long)ann->sequence);
		acknowledge(c, ann->handle);
		return;
	}
	if (!h->known || ann->born != h->id.born ||
	    strcmp(ann->instance, h->id.instance) != 0)
		start_lifetime(h, c, ann);
	apply_leave(h, c);
	if (ann->draining && !h->draining)
		mesh_log(c->out, LOG_INFO, "event=upstream_drains instance=%s",
			 ann->instance);
	h->draining |= ann->draining;
	h->gone = false;
	h->sequence = ann->sequence;
	h->heard_ns = c->now_ns;
	h->slots = ann->slots;
	mem_copy_str(h->addr, ann->addr, sizeof(h->addr));
	h->cold_until_ns =
		ann->cold_left_ns ? c->now_ns + ann->cold_left_ns : 0;
	store_released(h, ann);
	held_rows_delete(&h->held);
	list_splice_back(&h->held, &ann->held);
	if (ann->draining && !leave_is_stored(h, s))
		acknowledge_later(h, c, ann);
	else
		answer_announcement(h, c, s, ann->handle);
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
	h->earlier_grants_until_ns = 0;
	held_rows_delete(&h->granted);
	held_rows_delete(&h->held);
}

/* True if no upstream on this VM can hold the row any more. */
static bool not_held_here(const struct holder *h, const struct mesh_ctx *c,
			  const struct keyrow *r)
{
	bool current = h->known && holder_equal(&r->owner, &h->id);

	if (!current)
		return (h->known && h->id.born > r->owner.born) ||
		       c->now_ns >= h->earlier_grants_until_ns;
	if (h->gone)
		return true;
	if (c->now_ns >= h->granted_until_ns &&
	    c->now_ns >= h->earlier_grants_until_ns)
		return !holder_accepts_requests(h, c);
	if (!must_release(h, c, r))
		return false;
	/*
	 * The last two answers left the row out, and the upstream has sent an
	 * announcement without it.
	 */
	return !overlaps(&h->held, r->from, r->to) &&
	       !overlaps(&h->granted_previous, r->from, r->to) &&
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
	/* A new lifetime of the upstream takes over its keys. */
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
 * The upstream that replaced the row's owner on another node, as that node's
 * card says: the owner has ended. When a fleet restarts, each write includes
 * the moves that other nodes would otherwise make in later writes of the same
 * record.
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

static uint32_t move_rows_of_others(const struct mesh_ctx *c,
				    struct keymap *map)
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

/* True if this node has to write the row again with a fence of this era. */
static bool needs_fence(const struct holder *h, const struct mesh_ctx *c,
			const struct keyrow *r)
{
	return h->known && !h->gone && holder_equal(&r->owner, &h->id) &&
	       !must_release(h, c, r) && !owner_certain(h, c, r);
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

		if (strcmp(r->owner.node, c->opts->node) != 0)
			continue;
		if (needs_fence(h, c, r)) {
			keymap_move(map, r, &h->id, "");
			keys += r->to - r->from + 1;
			continue;
		}
		if (!not_held_here(h, c, r))
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

/* Sets when this node's rows with a target are released. */
static void plan_release(struct holder *h, struct mesh_ctx *c,
			 const struct dir_keymap *k)
{
	const char *owner = "";
	const struct keyrow *r;
	uint64_t before = 0;
	bool own = false;

	list_for_each_entry(r, &h->own_rows, by_owner)
		own |= r->target[0] != '\0';
	if (!own) {
		h->release_at_ns = 0;
		return;
	}
	if (h->release_at_ns)
		return;
	list_for_each_entry(r, &k->map->rows, link) {
		if (!r->target[0] || !strcmp(r->owner.node, owner))
			continue;
		owner = r->owner.node;
		before += strcmp(owner, c->opts->node) < 0;
	}
	if (before > KEYMAP_GIVERS_MAX)
		before = KEYMAP_GIVERS_MAX +
			 rng_next(&c->rng) % KEYMAP_GIVERS_MAX;
	h->release_at_ns = c->now_ns + before * RELEASE_GAP_NS;
}

/* The rows of an older keymap are gone with it. */
static void list_own_rows(struct holder *h, struct mesh_ctx *c,
			  const struct dir_keymap *k)
{
	struct keyrow *r;

	if (h->own_rows_at == k->revision)
		return;
	h->own_rows_at = k->revision;
	list_init(&h->own_rows);
	list_for_each_entry(r, &k->map->rows, link)
		if (!strcmp(r->owner.node, c->opts->node))
			list_push_back(&h->own_rows, &r->by_owner);
	plan_release(h, c, k);
}

/* Called often, so it copies no keymap and lists no candidates. */
static bool any_row_to_move(struct holder *h, struct mesh_ctx *c,
			    const struct dir_keymap *k)
{
	const struct keyrow *r;

	list_own_rows(h, c, k);
	list_for_each_entry(r, &h->own_rows, by_owner)
		if (needs_fence(h, c, r) || not_held_here(h, c, r))
			return true;
	return false;
}

/*
 * The write is valid only for this process: the next one may grant the keys
 * again while the write is still under way.
 */
static void write_moves(struct holder *h, struct mesh_ctx *c,
			const struct dir_keymap *k, revision_t card_revision)
{
	struct keymap *map = keymap_copy(k->map);
	struct act_store_call *a;
	struct record *rec;
	uint32_t keys;
	uint32_t keys_of_others;

	keymap_raise_fence(map, directory_fence_base(&c->dir));
	keys = move_rows(h, c, map);
	if (!keys && !h->write_uncertain) {
		keymap_delete(map);
		return;
	}
	keys_of_others = move_rows_of_others(c, map);
	mesh_log(c->out, LOG_INFO,
		 "event=keys_moved keys=%u from=%s revision=" REVISION_FMT
		 " leaving=%d gone=%d for_others=%u",
		 keys, h->id.instance, REVISION_ARGS(k->revision),
		 holder_leaving(h, c), h->gone, keys_of_others);
	keymap_merge_rows(map);
	rec = record_new(RECORD_KEYMAP, map->service);
	rec->u.keymap = map;
	a = mesh_store_call(c, CALL_WRITE);
	mesh_expect_revision(a, RECORD_KEYMAP, map->service, k->revision);
	mesh_expect_revision(a, RECORD_CARD, c->opts->node, card_revision);
	list_push_back(&a->puts, &rec->link);
	h->write_op = a->op;
	h->write_revision = k->revision;
	h->write_uncertain = true;
	h->write_wait_until_ns = c->now_ns + WRITE_RETRY_NS;
	h->moved_keys += keys;
}

void holder_on_era(struct holder *h, const struct mesh_ctx *c)
{
	const struct held_row *r;

	held_rows_delete(&h->carried);
	if (c->now_ns >= h->granted_until_ns)
		return;
	list_for_each_entry(r, &h->granted, link) {
		struct held_row *n = mem_dup(r, sizeof(*r));

		list_push_back(&h->carried, &n->link);
	}
}

bool holder_on_end(struct holder *h, struct mesh_ctx *c,
		   const struct ev_store_end *e)
{
	if (!h->write_op || e->op != h->write_op)
		return false;
	h->write_op = 0;
	h->next_write_ns = c->now_ns;
	if (e->end == STORE_CONFLICT) {
		h->outdated = h->write_revision;
		h->outdated_until_ns = c->now_ns + OUTDATED_MAX_NS;
	}
	/* At random, as all owners may write the keymap when an era settles. */
	if (e->end != STORE_DONE)
		h->next_write_ns +=
			WRITE_RETRY_NS + rng_next(&c->rng) % WRITE_RETRY_NS;
	return true;
}

static bool probe_due(const struct holder *h, const struct mesh_ctx *c)
{
	return !h->gone && c->now_ns >= h->next_probe_ns &&
	       c->now_ns > h->heard_ns + PROBE_AFTER_ANNOUNCEMENTS *
						 c->opts->announce_interval_ns;
}

void holder_work(struct holder *h, struct mesh_ctx *c, const struct session *s)
{
	const struct dir_keymap *k = own_keymap(c);
	revision_t card_revision = session_card_revision(s);

	apply_leave(h, c);
	answer_pending_ack(h, c, s);
	if (probe_due(h, c)) {
		h->next_probe_ns = c->now_ns + PROBE_INTERVAL_NS;
		mesh_actions_add(c->out, MA_PROBE_UPSTREAM);
	}
	if (k)
		drop_moved_rows(h, k);
	if (!k || !card_revision || c->store_down || h->write_op ||
	    c->now_ns < h->next_write_ns)
		return;
	/* Until then an owner by the keymap may not be the last one. */
	if (!directory_settled(&c->dir, c->now_ns))
		return;
	if (h->write_uncertain && k->revision > h->write_revision) {
		h->write_uncertain = false;
		held_rows_delete(&h->moving);
	}
	if (h->write_uncertain && c->now_ns < h->write_wait_until_ns)
		return;
	/* Another write on the same condition would conflict again. */
	if (k->revision == h->outdated && c->now_ns < h->outdated_until_ns)
		return;
	/*
	 * After a write with an unknown result, another write is made even
	 * without a change: it raises the revision, so that the earlier one
	 * can no longer take effect.
	 */
	if (h->write_uncertain || any_row_to_move(h, c, k))
		write_moves(h, c, k, card_revision);
	h->next_write_ns = c->now_ns + MOVE_CHECK_NS;
}

uint64_t holder_next_ns(const struct holder *h)
{
	return h->next_write_ns < h->next_probe_ns ? h->next_write_ns
						   : h->next_probe_ns;
}
