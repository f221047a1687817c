#include "core/directory.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/mem.h"

/* Service time assumed for a gate that has not reported its load yet. */
#define SERVICE_TIME_INITIAL_NS (200 * NS_PER_MS)
/*
 * The minimum clock difference is re-estimated each window, as clocks drift
 * apart by some microseconds a second.
 */
#define CLOCK_WINDOW_NS		(10 * NS_PER_S)
/* Weight of the newest report in the mean number of requests at a gate. */
#define BUSY_NEWEST_WEIGHT	0.2
/* A node without a card that has sent nothing for this time is removed. */
#define NODE_FORGET_NS		(30 * NS_PER_S)

uint64_t peer_clock_delay_ns(struct peer_clock *pc, uint64_t sent_ns,
			     uint64_t now_ns)
{
	int64_t diff_ns = (int64_t)(now_ns - sent_ns);

	if (!pc->window_end_ns) {
		pc->min_diff_ns = diff_ns;
		pc->next_min_diff_ns = diff_ns;
		pc->window_end_ns = now_ns + CLOCK_WINDOW_NS;
	}
	if (now_ns >= pc->window_end_ns) {
		pc->min_diff_ns = pc->next_min_diff_ns;
		pc->next_min_diff_ns = diff_ns;
		pc->window_end_ns = now_ns + CLOCK_WINDOW_NS;
	}
	if (diff_ns < pc->min_diff_ns)
		pc->min_diff_ns = diff_ns;
	if (diff_ns < pc->next_min_diff_ns)
		pc->next_min_diff_ns = diff_ns;
	return (uint64_t)(diff_ns - pc->min_diff_ns);
}

void directory_init(struct directory *d, const char *region)
{
	memset(d, 0, sizeof(*d));
	mem_copy_str(d->region, region, sizeof(d->region));
	d->far_report_rounds = 1;
	list_init(&d->nodes);
	for (int i = 0; i < DIR_BUCKETS; i++) {
		list_init(&d->by_name[i]);
		list_init(&d->by_boot[i]);
	}
	list_init(&d->report_new);
	list_init(&d->report_near);
	list_init(&d->report_far);
	list_init(&d->keymaps);
	list_init(&d->evacuated);
	even_init(&d->even);
}

void directory_done(struct directory *d)
{
	struct dir_node *n, *nt;
	struct dir_keymap *k, *kt;
	struct dir_evacuation *e, *et;

	list_for_each_entry_safe(n, nt, &d->nodes, link)
		free(n);
	list_for_each_entry_safe(k, kt, &d->keymaps, link) {
		keymap_delete(k->map);
		free(k);
	}
	list_for_each_entry_safe(e, et, &d->evacuated, link)
		free(e);
	manifest_delete(d->manifest);
	even_done(&d->even);
}

struct dir_node *directory_node(const struct directory *d, const char *name)
{
	uint32_t hash = XXH32(name, strlen(name), 0);
	struct dir_node *n;

	list_for_each_entry(n, &d->by_name[hash % DIR_BUCKETS], by_name)
		if (n->name_hash == hash && !strcmp(n->name, name))
			return n;
	return NULL;
}

struct dir_node *directory_by_boot(const struct directory *d, uint64_t boot)
{
	struct dir_node *n;

	list_for_each_entry(n, &d->by_boot[boot % DIR_BUCKETS], by_boot)
		if (n->boot == boot)
			return n;
	return NULL;
}

void directory_set_boot(struct directory *d, struct dir_node *n, uint64_t boot)
{
	if (n->boot == boot)
		return;
	n->boot = boot;
	memset(&n->even, 0, sizeof(n->even));
	list_remove(&n->by_boot);
	list_push_back(&d->by_boot[boot % DIR_BUCKETS], &n->by_boot);
}

static struct dir_keymap *find_keymap(const struct directory *d,
				      const char *service)
{
	struct dir_keymap *k;

	list_for_each_entry(k, &d->keymaps, link)
		if (!strcmp(k->map->service, service))
			return k;
	return NULL;
}

const struct dir_keymap *directory_keymap(const struct directory *d,
					  const char *service)
{
	return find_keymap(d, service);
}

static struct dir_evacuation *find_evacuation(const struct directory *d,
					      const char *name)
{
	struct dir_evacuation *e;

	list_for_each_entry(e, &d->evacuated, link)
		if (!strcmp(e->name, name))
			return e;
	return NULL;
}

bool directory_note_era(struct directory *d, uint64_t era, uint64_t settled_ns)
{
	if (era <= d->era)
		return false;
	d->era = era;
	d->era_settled_ns = settled_ns;
	return true;
}

bool directory_settled(const struct directory *d, uint64_t now_ns)
{
	return now_ns >= d->era_settled_ns;
}

uint64_t directory_fence_base(const struct directory *d)
{
	return keymap_fence_base(d->era);
}

bool directory_keymap_current(const struct directory *d,
			      const struct dir_keymap *k)
{
	return revision_era(k->revision) == d->era;
}

revision_t directory_order(const struct directory *d, revision_t r)
{
	return r && !revision_era(r) ? revision_make(d->era, r) : r;
}

/* Of the newest document read, which the one in force may have refused. */
static revision_t newest_manifest_read(const struct directory *d)
{
	return d->manifest_seen > d->manifest_revision ? d->manifest_seen
						       : d->manifest_revision;
}

void directory_note_version(struct directory *d, uint64_t version,
			    uint64_t now_ns)
{
	if (version < d->manifest_version_known)
		return;
	d->manifest_version_known = version;
	d->version_heard_ns = now_ns;
}

bool directory_version_behind(const struct directory *d)
{
	return d->manifest && d->manifest->version < d->manifest_version_known;
}

bool directory_live_version_behind(const struct directory *d, uint64_t now_ns)
{
	return directory_version_behind(d) &&
	       now_ns < d->version_heard_ns + NODE_FORGET_NS;
}

void directory_note_manifest(struct directory *d, revision_t revision,
			     uint64_t now_ns)
{
	if (revision > d->manifest_wanted)
		d->manifest_wanted = revision;
	if (directory_manifest_outdated(d) && !d->manifest_late_since_ns)
		d->manifest_late_since_ns = now_ns;
}

bool directory_manifest_outdated(const struct directory *d)
{
	return newest_manifest_read(d) < d->manifest_wanted ||
	       d->manifest_revision < d->manifest_invalid ||
	       directory_version_behind(d);
}

bool directory_wants_manifest(const struct directory *d)
{
	return newest_manifest_read(d) < d->manifest_wanted &&
	       d->manifest_invalid < d->manifest_wanted;
}

bool directory_dc_evacuated(const struct directory *d, const char *dc)
{
	return find_evacuation(d, dc) != NULL;
}

static const char *source_name(enum record_source source)
{
	switch (source) {
	case SOURCE_READ:
		return "read";
	case SOURCE_WATCH:
		return "watch";
	case SOURCE_PEER:
		return "delta";
	}
	return "?";
}

static void apply_manifest(struct directory *d, struct record *r,
			   uint64_t now_ns, struct mesh_actions *out)
{
	uint64_t late_ns = d->manifest_late_since_ns
				   ? now_ns - d->manifest_late_since_ns
				   : 0;

	if (r->removed || r->revision <= newest_manifest_read(d))
		return;
	d->manifest_seen = r->revision;
	if (d->manifest && r->u.manifest->version < d->manifest->version) {
		mesh_log(out, LOG_WARN,
			 "event=config_refused why=older version=%lu "
			 "in_force=%lu revision=" REVISION_FMT,
			 (unsigned long)r->u.manifest->version,
			 (unsigned long)d->manifest->version,
			 REVISION_ARGS(r->revision));
		return;
	}
	d->manifest_revision = r->revision;
	if (d->manifest && r->u.manifest->version == d->manifest->version)
		return;
	manifest_delete(d->manifest);
	d->manifest = r->u.manifest;
	r->u.manifest = NULL;
	manifest_build_index(d->manifest);
	mesh_log(out, LOG_INFO,
		 "event=config_in_force version=%lu revision=" REVISION_FMT
		 " via=%s known_ms=%lu",
		 (unsigned long)d->manifest->version,
		 REVISION_ARGS(r->revision), source_name(d->source),
		 (unsigned long)(late_ns / NS_PER_MS));
	mesh_actions_add(out, MA_LIMITS)->u.limits = d->manifest->limits;
}

static void apply_evacuation(struct directory *d, const struct record *r,
			     struct mesh_actions *out)
{
	struct dir_evacuation *e = find_evacuation(d, r->name);

	if (e && !r->removed && r->revision > e->revision)
		e->revision = r->revision;
	if (r->removed == !e)
		return;
	if (r->removed) {
		list_remove(&e->link);
		free(e);
	} else {
		e = mem_new(struct dir_evacuation);
		mem_copy_str(e->name, r->name, sizeof(e->name));
		e->revision = r->revision;
		list_push_back(&d->evacuated, &e->link);
	}
	mesh_log(out, LOG_INFO,
		 "event=data_centre_state data_centre=%s out=%d "
		 "revision=" REVISION_FMT,
		 r->name, !r->removed, REVISION_ARGS(r->revision));
}

static struct dir_node *find_or_add_node(struct directory *d, const char *name)
{
	struct dir_node *n = directory_node(d, name);

	if (n)
		return n;
	n = mem_new(struct dir_node);
	mem_copy_str(n->name, name, sizeof(n->name));
	n->name_hash = XXH32(n->name, strlen(n->name), 0);
	n->key_share = KEY_SHARE_UNIT;
	list_push_back(&d->nodes, &n->link);
	list_push_back(&d->by_name[n->name_hash % DIR_BUCKETS], &n->by_name);
	list_init(&n->by_boot);
	list_push_back(&d->report_new, &n->in_reports);
	return n;
}

static void forget_node(struct dir_node *n)
{
	list_remove(&n->link);
	list_remove(&n->by_name);
	list_remove(&n->by_boot);
	list_remove(&n->in_reports);
	free(n);
}

static void clear_card(struct dir_node *n, revision_t revision, uint64_t now_ns)
{
	if (n->revision)
		n->absent_ns = now_ns;
	n->revision = 0;
	n->absent_revision = revision;
}

/* Clears what was learned of the previous process of a restarted node. */
static void reset_process_state(struct dir_node *n)
{
	n->heard_ns = 0;
	n->probed_ns = 0;
	n->leaving = false;
	n->watches = false;
	n->manifest_revision = 0;
	n->watched_ns = 0;
	n->failure_rate = 0;
	memset(&n->clock, 0, sizeof(n->clock));
}

/* Clears what was measured of the previous upstream of a node. */
static void forget_upstream(struct dir_node *n)
{
	n->key_share = KEY_SHARE_UNIT;
	n->key_share_measured = false;
	n->even.paces = 0;
}

/*
 * True if @r may be a card of an earlier process of the live node @n: the first
 * one that a restored store shows of it.
 */
static bool may_be_restored(const struct directory *d, const struct dir_node *n,
			    const struct record *r, uint64_t now_ns)
{
	revision_t before = n->revision > n->absent_revision
				    ? n->revision
				    : n->absent_revision;

	return revision_era(r->revision) > revision_era(before) &&
	       n->heard_ns && directory_node_alive(d, n, now_ns);
}

static void apply_card(struct directory *d, const struct record *r,
		       uint64_t now_ns)
{
	struct dir_node *n = find_or_add_node(d, r->name);

	if (r->revision < n->revision || r->revision <= n->absent_revision)
		return;
	if (r->removed) {
		clear_card(n, r->revision, now_ns);
		return;
	}
	if (r->u.card.boot != n->card.boot && r->u.card.boot != n->boot &&
	    !may_be_restored(d, n, r, now_ns))
		reset_process_state(n);
	if (strcmp(r->u.card.upstream.instance, n->card.upstream.instance) != 0)
		forget_upstream(n);
	n->revision = r->revision;
	n->card = r->u.card;
	if (!n->heard_ns) {
		directory_set_boot(d, n, n->card.boot);
		n->load.limit = n->card.slots;
		n->load.service_ns = SERVICE_TIME_INITIAL_NS;
	}
}

static void apply_keymap(struct directory *d, struct record *r, uint64_t now_ns)
{
	struct dir_keymap *k = find_keymap(d, r->name);

	if (r->removed || (k && r->revision <= k->revision))
		return;
	if (!k) {
		k = mem_new(struct dir_keymap);
		list_push_back(&d->keymaps, &k->link);
	}
	/* A write from before the era may bring lower fences back. */
	if (k->map)
		keymap_raise_fence(r->u.keymap, k->map->fence);
	keymap_delete(k->map);
	k->map = r->u.keymap;
	k->revision = r->revision;
	r->u.keymap = NULL;
	keymap_build_index(k->map);
	/* Its writer has waited until the era was settled. */
	if (directory_keymap_current(d, k) &&
	    k->map->fence > directory_fence_base(d) &&
	    !directory_settled(d, now_ns))
		d->era_settled_ns = now_ns;
}

static void apply_record(struct directory *d, struct record *r, uint64_t now_ns,
			 struct mesh_actions *out)
{
	if (r->invalid) {
		mesh_log(out, LOG_WARN,
			 "event=record_ignored why=invalid kind=%d name=%s "
			 "revision=" REVISION_FMT,
			 r->kind, r->name, REVISION_ARGS(r->revision));
		if (r->kind == RECORD_MANIFEST &&
		    r->revision > d->manifest_invalid)
			d->manifest_invalid = r->revision;
		return;
	}
	switch (r->kind) {
	case RECORD_MANIFEST:
		apply_manifest(d, r, now_ns, out);
		if (!directory_manifest_outdated(d))
			d->manifest_late_since_ns = 0;
		break;
	case RECORD_EVACUATION:
		apply_evacuation(d, r, out);
		break;
	case RECORD_CARD:
		apply_card(d, r, now_ns);
		break;
	case RECORD_KEYMAP:
		apply_keymap(d, r, now_ns);
		break;
	case RECORD_KIND_COUNT:
		break;
	}
}

static bool is_listed(const struct list *records, enum record_kind kind,
		      const char *name)
{
	const struct record *r;

	list_for_each_entry(r, records, link)
		if (r->kind == kind && !r->removed && !strcmp(r->name, name))
			return true;
	return false;
}

/*
 * A read does not report removals: a record missing from it was removed, or
 * lost with the end of an era. In a new one the operators get time to write it
 * again.
 */
static void drop_unlisted_evacuations(struct directory *d,
				      const struct list *records,
				      revision_t revision, uint64_t now_ns)
{
	struct dir_evacuation *e, *et;

	list_for_each_entry_safe(e, et, &d->evacuated, link) {
		if (is_listed(records, RECORD_EVACUATION, e->name))
			continue;
		if (revision_era(e->revision) < revision_era(revision) &&
		    !directory_settled(d, now_ns)) {
			d->evacuations_kept = true;
			continue;
		}
		list_remove(&e->link);
		free(e);
	}
}

static void drop_unlisted_cards(struct directory *d, const struct list *records,
				revision_t revision, uint64_t now_ns)
{
	struct dir_node *n, *nt;

	list_for_each_entry_safe(n, nt, &d->nodes, link) {
		if (n->revision > revision ||
		    is_listed(records, RECORD_CARD, n->name))
			continue;
		if (n->absent_revision < revision)
			clear_card(n, revision, now_ns);
		if (now_ns > n->heard_ns + NODE_FORGET_NS &&
		    now_ns > n->absent_ns + NODE_FORGET_NS)
			forget_node(n);
	}
}

/*
 * An answer that took so long that changes after it are known already: it may
 * still have a manifest that they announced only.
 */
static void apply_overtaken_answer(struct directory *d, struct list *records,
				   uint64_t now_ns, struct mesh_actions *out)
{
	struct record *r;

	list_for_each_entry(r, records, link)
		if (r->kind == RECORD_MANIFEST)
			apply_record(d, r, now_ns, out);
}

void directory_apply(struct directory *d, struct list *records, bool complete,
		     revision_t revision, uint64_t now_ns,
		     struct mesh_actions *out)
{
	struct record *r;

	if (revision && revision < d->revision) {
		apply_overtaken_answer(d, records, now_ns, out);
		return;
	}
	if (complete) {
		d->evacuations_kept = false;
		drop_unlisted_evacuations(d, records, revision, now_ns);
		drop_unlisted_cards(d, records, revision, now_ns);
	}
	list_for_each_entry(r, records, link)
		apply_record(d, r, now_ns, out);
	if (revision > d->revision)
		d->revision = revision;
	d->loaded |= complete;
	d->apply_count++;
}

void directory_apply_partial(struct directory *d, struct list *records,
			     revision_t revision, uint64_t now_ns,
			     struct mesh_actions *out)
{
	struct record *r;

	drop_unlisted_cards(d, records, revision, now_ns);
	list_for_each_entry(r, records, link)
		if (r->kind == RECORD_CARD || r->kind == RECORD_KEYMAP)
			apply_record(d, r, now_ns, out);
	d->apply_count++;
}

/*
 * A silent node whose boot was kept although its card has another one: see
 * may_be_restored().
 */
static struct dir_node *by_card_boot(const struct directory *d, uint64_t boot,
				     uint64_t now_ns)
{
	struct dir_node *n;

	list_for_each_entry(n, &d->nodes, link)
		if (n->revision && n->card.boot == boot &&
		    !directory_node_alive(d, n, now_ns))
			return n;
	return NULL;
}

/* True when the sender of @l knows no newer manifest than this node. */
static bool is_not_ahead(const struct directory *d, const struct msg_load *l)
{
	return l->manifest_revision
		       ? directory_order(d, l->manifest_revision) <=
				 d->manifest_revision
		       : directory_order(d, l->revision) <= d->revision;
}

struct dir_node *directory_on_load_report(struct directory *d, uint64_t from,
					  const struct msg_load *l,
					  uint64_t now_ns)
{
	struct dir_node *n = l->node[0] ? directory_node(d, l->node)
					: directory_by_boot(d, from);

	uint64_t delay_ns;

	if (!n)
		n = by_card_boot(d, from, now_ns);
	directory_note_version(d, l->manifest_version, now_ns);
	if (!n)
		return NULL;
	if (n->boot != from) {
		directory_set_boot(d, n, from);
		n->failure_rate = 0;
		memset(&n->clock, 0, sizeof(n->clock));
	}
	delay_ns = peer_clock_delay_ns(&n->clock, l->sent_ns, now_ns);
	if (l->watches && is_not_ahead(d, l))
		n->watched_ns = now_ns - delay_ns;
	n->leaving = l->leaving;
	n->watches = l->watches;
	n->manifest_revision = directory_order(d, l->manifest_revision);
	directory_note_manifest(d, n->manifest_revision, now_ns);
	n->reply_due |= l->wants_report;
	d->urgent_reports |= l->wants_report;
	directory_note_load(n, &l->load, now_ns);
	return n;
}

void directory_note_load(struct dir_node *n, const struct gate_load *load,
			 uint64_t now_ns)
{
	double busy = load->running + load->waiting;

	n->mean_busy += BUSY_NEWEST_WEIGHT * (busy - n->mean_busy);
	n->load = *load;
	n->unreported_requests = 0;
	n->heard_ns = now_ns;
	even_note_load(&n->even, load, now_ns);
}

bool directory_same_region(const struct directory *d, const struct dir_node *n)
{
	return !strcmp(n->card.region, d->region);
}

uint64_t directory_silence_limit_ns(const struct directory *d,
				    const struct dir_node *n)
{
	uint64_t limit_ns =
		directory_same_region(d, n)
			? DIR_SILENCE_REPORTS * d->report_interval_ns
			: DIR_SILENCE_FAR_REPORTS * d->far_report_rounds *
				  d->report_interval_ns;

	return limit_ns > DIR_SILENCE_MIN_NS ? limit_ns : DIR_SILENCE_MIN_NS;
}

bool directory_node_alive(const struct directory *d, const struct dir_node *n,
			  uint64_t now_ns)
{
	if (n->probed_ns > n->heard_ns &&
	    now_ns > n->probed_ns + DIR_PROBE_TIMEOUT_NS)
		return false;
	return now_ns < n->heard_ns + directory_silence_limit_ns(d, n);
}

bool directory_usable(const struct directory *d, const struct dir_node *n,
		      uint64_t now_ns)
{
	if (!n->card.upstream.instance[0] || now_ns < n->avoid_until_ns ||
	    directory_dc_evacuated(d, n->card.dc))
		return false;
	/* No report of it yet, as after a start of this node: use its card. */
	if (!n->heard_ns)
		return n->revision && !n->card.draining;
	return directory_node_alive(d, n, now_ns) && n->load.open &&
	       !n->leaving;
}

/* True if the upstream of @n serves @service and may get keys. */
static bool may_get_keys(const struct directory *d, const struct dir_node *n,
			 const char *service, uint64_t now_ns)
{
	if (!n->revision || n->card.draining || !n->card.upstream.instance[0] ||
	    strcmp(n->card.service, service) != 0 ||
	    directory_dc_evacuated(d, n->card.dc))
		return false;
	/* Its lease says that it lives; load reports come later. */
	if (!n->heard_ns)
		return true;
	return n->load.open && directory_node_alive(d, n, now_ns);
}

void directory_candidates(const struct directory *d, const char *service,
			  uint64_t now_ns, struct list *candidates)
{
	const struct dir_keymap *k = directory_keymap(d, service);
	const struct dir_node *n;

	list_for_each_entry(n, &d->nodes, link) {
		struct keymap_candidate *candidate;

		if (!may_get_keys(d, n, service, now_ns))
			continue;
		candidate = keymap_candidate_new(&n->card.upstream);
		candidate->weight = n->key_share;
		list_push_back(candidates, &candidate->link);
	}
	if (k)
		keymap_count_keys(k->map, candidates);
}

void candidates_delete(struct list *candidates)
{
	struct keymap_candidate *c, *tmp;

	list_for_each_entry_safe(c, tmp, candidates, link) {
		list_remove(&c->link);
		free(c);
	}
}
