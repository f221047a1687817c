#include "core/directory.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/mem.h"

/* Assumed of a gate that has not reported yet. */
#define SERVICE_FIRST_NS (200 * NS_PER_MS)
/* Clocks drift apart by some microseconds a second; so the estimate ages. */
#define CLOCK_WINDOW_NS	 (10 * NS_PER_S)
/* A node that has no record and is not heard for as long is forgotten. */
#define FORGET_NS	 (30 * NS_PER_S)

uint64_t peer_clock_delay_ns(struct peer_clock *pc, uint64_t sent_ns,
			     uint64_t now_ns)
{
	int64_t diff = (int64_t)(now_ns - sent_ns);

	if (!pc->window_end_ns) {
		pc->least = diff;
		pc->least_next = diff;
		pc->window_end_ns = now_ns + CLOCK_WINDOW_NS;
	}
	if (now_ns >= pc->window_end_ns) {
		pc->least = pc->least_next;
		pc->least_next = diff;
		pc->window_end_ns = now_ns + CLOCK_WINDOW_NS;
	}
	if (diff < pc->least)
		pc->least = diff;
	if (diff < pc->least_next)
		pc->least_next = diff;
	return (uint64_t)(diff - pc->least);
}

void directory_init(struct directory *d, const char *region)
{
	memset(d, 0, sizeof(*d));
	mem_copy_str(d->region, region, sizeof(d->region));
	d->far_rounds = 1;
	list_init(&d->nodes);
	list_init(&d->keymaps);
	list_init(&d->evacuated);
}

void directory_done(struct directory *d)
{
	struct dir_node *n, *nt;
	struct dir_keymap *k, *kt;
	struct dir_evacuation *z, *zt;

	list_for_each_entry_safe(n, nt, &d->nodes, link)
		free(n);
	list_for_each_entry_safe(k, kt, &d->keymaps, link) {
		keymap_delete(k->map);
		free(k);
	}
	list_for_each_entry_safe(z, zt, &d->evacuated, link)
		free(z);
	manifest_delete(d->manifest);
}

struct dir_node *directory_node(const struct directory *d, const char *name)
{
	uint32_t hash = XXH32(name, strlen(name), 0);
	struct dir_node *n;

	list_for_each_entry(n, &d->nodes, link)
		if (n->name_hash == hash && !strcmp(n->name, name))
			return n;
	return NULL;
}

struct dir_node *directory_by_boot(const struct directory *d, uint64_t boot)
{
	struct dir_node *n;

	list_for_each_entry(n, &d->nodes, link)
		if (n->boot == boot)
			return n;
	return NULL;
}

static struct dir_keymap *keymap_slot(const struct directory *d,
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
	return keymap_slot(d, service);
}

static struct dir_evacuation *zone_find(const struct directory *d,
					const char *name)
{
	struct dir_evacuation *z;

	list_for_each_entry(z, &d->evacuated, link)
		if (!strcmp(z->name, name))
			return z;
	return NULL;
}

bool directory_dc_evacuated(const struct directory *d, const char *dc)
{
	return zone_find(d, dc) != NULL;
}

static void apply_manifest(struct directory *d, struct record *r,
			   struct mesh_actions *out)
{
	if (r->removed || r->revision <= d->manifest_revision)
		return;
	d->manifest_revision = r->revision;
	if (d->manifest && r->u.manifest->version < d->manifest->version) {
		mesh_log(out, LOG_WARN,
			 "event=config_refused why=older version=%lu "
			 "in_force=%lu",
			 (unsigned long)r->u.manifest->version,
			 (unsigned long)d->manifest->version);
		return;
	}
	manifest_delete(d->manifest);
	d->manifest = r->u.manifest;
	r->u.manifest = NULL;
	mesh_log(out, LOG_INFO,
		 "event=config_in_force version=%lu revision=%lu",
		 (unsigned long)d->manifest->version,
		 (unsigned long)r->revision);
	mesh_actions_add(out, MA_LIMITS)->u.limits = d->manifest->limits;
}

static void apply_zone(struct directory *d, const struct record *r,
		       struct mesh_actions *out)
{
	struct dir_evacuation *z = zone_find(d, r->name);

	if (r->removed == !z)
		return;
	if (r->removed) {
		list_remove(&z->link);
		free(z);
	} else {
		z = mem_new(struct dir_evacuation);
		mem_copy_str(z->name, r->name, sizeof(z->name));
		list_push_back(&d->evacuated, &z->link);
	}
	mesh_log(out, LOG_INFO,
		 "event=data_centre_state data_centre=%s out=%d revision=%lu",
		 r->name, !r->removed, (unsigned long)r->revision);
}

static struct dir_node *node_get(struct directory *d, const char *name)
{
	struct dir_node *n = directory_node(d, name);

	if (n)
		return n;
	n = mem_new(struct dir_node);
	mem_copy_str(n->name, name, sizeof(n->name));
	n->name_hash = XXH32(n->name, strlen(n->name), 0);
	list_push_back(&d->nodes, &n->link);
	return n;
}

static void lose_card(struct dir_node *n, revision_t revision, uint64_t now_ns)
{
	if (n->revision)
		n->absent_ns = now_ns;
	n->revision = 0;
	n->gone = revision;
}

/* Another process is there now, which was not heard yet. */
static void forget_process(struct dir_node *n)
{
	n->heard_ns = 0;
	n->probed_ns = 0;
	n->leaving = false;
	n->watches = false;
	n->failures = 0;
	memset(&n->clock, 0, sizeof(n->clock));
}

static void apply_card(struct directory *d, const struct record *r,
		       uint64_t now_ns)
{
	struct dir_node *n = node_get(d, r->name);

	if (r->revision < n->revision || r->revision <= n->gone)
		return;
	if (r->removed) {
		lose_card(n, r->revision, now_ns);
		return;
	}
	if (r->u.card.boot != n->card.boot && r->u.card.boot != n->boot)
		forget_process(n);
	n->revision = r->revision;
	n->card = r->u.card;
	if (!n->heard_ns) {
		n->boot = n->card.boot;
		n->load.limit = n->card.slots;
		n->load.service_ns = SERVICE_FIRST_NS;
	}
}

static void apply_keymap(struct directory *d, struct record *r)
{
	struct dir_keymap *k = keymap_slot(d, r->name);

	if (r->removed || (k && r->revision <= k->revision))
		return;
	if (!k) {
		k = mem_new(struct dir_keymap);
		list_push_back(&d->keymaps, &k->link);
	}
	keymap_delete(k->map);
	k->map = r->u.keymap;
	k->revision = r->revision;
	r->u.keymap = NULL;
}

static void apply_one(struct directory *d, struct record *r, uint64_t now_ns,
		      struct mesh_actions *out)
{
	if (r->broken) {
		mesh_log(out, LOG_WARN,
			 "event=record_ignored why=broken kind=%d name=%s "
			 "revision=%lu",
			 r->kind, r->name, (unsigned long)r->revision);
		return;
	}
	switch (r->kind) {
	case RECORD_MANIFEST:
		apply_manifest(d, r, out);
		break;
	case RECORD_EVACUATION:
		apply_zone(d, r, out);
		break;
	case RECORD_CARD:
		apply_card(d, r, now_ns);
		break;
	case RECORD_KEYMAP:
		apply_keymap(d, r);
		break;
	case RECORD_KIND_COUNT:
		break;
	}
}

static bool listed(const struct list *records, enum record_kind kind,
		   const char *name)
{
	const struct record *r;

	list_for_each_entry(r, records, link)
		if (r->kind == kind && !r->removed && !strcmp(r->name, name))
			return true;
	return false;
}

/* A read names no removed records: what it lacks is gone. */
static void drop_unlisted_zones(struct directory *d, const struct list *records)
{
	struct dir_evacuation *z, *zt;

	list_for_each_entry_safe(z, zt, &d->evacuated, link) {
		if (listed(records, RECORD_EVACUATION, z->name))
			continue;
		list_remove(&z->link);
		free(z);
	}
}

static void drop_unlisted_cards(struct directory *d, const struct list *records,
				revision_t revision, uint64_t now_ns)
{
	struct dir_node *n, *nt;

	list_for_each_entry_safe(n, nt, &d->nodes, link) {
		if (n->revision > revision ||
		    listed(records, RECORD_CARD, n->name))
			continue;
		if (n->gone < revision)
			lose_card(n, revision, now_ns);
		if (now_ns > n->heard_ns + FORGET_NS &&
		    now_ns > n->absent_ns + FORGET_NS) {
			list_remove(&n->link);
			free(n);
		}
	}
}

void directory_apply(struct directory *d, struct list *records, bool whole,
		     revision_t revision, uint64_t now_ns,
		     struct mesh_actions *out)
{
	struct record *r;

	if (whole && revision < d->revision)
		return;
	if (whole) {
		drop_unlisted_zones(d, records);
		drop_unlisted_cards(d, records, revision, now_ns);
	}
	list_for_each_entry(r, records, link)
		apply_one(d, r, now_ns, out);
	if (revision > d->revision)
		d->revision = revision;
	d->loaded |= whole;
	d->changes++;
}

void directory_apply_partial(struct directory *d, struct list *records,
			     revision_t revision, uint64_t now_ns,
			     struct mesh_actions *out)
{
	struct record *r;

	drop_unlisted_cards(d, records, revision, now_ns);
	list_for_each_entry(r, records, link)
		if (r->kind == RECORD_CARD || r->kind == RECORD_KEYMAP)
			apply_one(d, r, now_ns, out);
	d->changes++;
}

struct dir_node *directory_on_load_report(struct directory *d, uint64_t from,
					  const struct msg_load *l,
					  uint64_t now_ns)
{
	struct dir_node *n = l->node[0] ? directory_node(d, l->node)
					: directory_by_boot(d, from);

	if (!n)
		return NULL;
	if (n->boot != from) {
		n->boot = from;
		n->failures = 0;
		memset(&n->clock, 0, sizeof(n->clock));
	}
	peer_clock_delay_ns(&n->clock, l->sent_ns, now_ns);
	n->heard_ns = now_ns;
	n->leaving = l->leaving;
	n->watches = l->watches;
	n->asks_us |= l->asks;
	d->asks |= l->asks;
	n->load = l->load;
	n->sent = 0;
	return n;
}

bool directory_same_region(const struct directory *d, const struct dir_node *n)
{
	return !strcmp(n->card.region, d->region);
}

uint64_t directory_silent_ns(const struct directory *d,
			     const struct dir_node *n)
{
	uint64_t reports =
		directory_same_region(d, n)
			? DIR_SILENT_REPORTS * d->report_ns
			: DIR_SILENT_FAR * d->far_rounds * d->report_ns;

	return reports > DIR_SILENT_NS ? reports : DIR_SILENT_NS;
}

bool directory_node_alive(const struct directory *d, const struct dir_node *n,
			  uint64_t now_ns)
{
	if (n->probed_ns > n->heard_ns &&
	    now_ns > n->probed_ns + DIR_PROBE_TIMEOUT_NS)
		return false;
	return now_ns < n->heard_ns + directory_silent_ns(d, n);
}

bool directory_usable(const struct directory *d, const struct dir_node *n,
		      uint64_t now_ns)
{
	if (!n->card.upstream.instance[0] || now_ns < n->avoid_ns ||
	    directory_dc_evacuated(d, n->card.dc))
		return false;
	/* Not heard yet by a node that has just started: by its card. */
	if (!n->heard_ns)
		return n->revision && !n->card.draining;
	return directory_node_alive(d, n, now_ns) && n->load.open &&
	       !n->leaving;
}

void directory_candidates(const struct directory *d, const char *service,
			  uint64_t now_ns, struct list *candidates)
{
	const struct dir_keymap *k = directory_keymap(d, service);
	struct keymap_candidate *c;
	const struct dir_node *n;

	list_for_each_entry(n, &d->nodes, link) {
		if (!n->revision || n->card.draining ||
		    !n->card.upstream.instance[0] ||
		    strcmp(n->card.service, service) != 0 ||
		    directory_dc_evacuated(d, n->card.dc) || !n->load.open ||
		    !directory_node_alive(d, n, now_ns))
			continue;
		c = mem_new(struct keymap_candidate);
		c->id = n->card.upstream;
		c->weight = 1;
		c->keys = k ? keymap_keys_of(k->map, &c->id) : 0;
		list_push_back(candidates, &c->link);
	}
}

void candidates_delete(struct list *candidates)
{
	struct keymap_candidate *c, *tmp;

	list_for_each_entry_safe(c, tmp, candidates, link) {
		list_remove(&c->link);
		free(c);
	}
}
