#include "core/hot_keys.h"

#include <string.h>
#include <xxhash.h>

#include "core/mem.h"

#define WINDOW_NS	      (5 * NS_PER_S)
/* A hot key reaches both this share of its node's requests and this rate. */
#define HOT_SHARE_MIN_PERCENT 5
#define HOT_RATE_MIN_PER_S    20

void hot_keys_init(struct hot_keys *h)
{
	memset(h, 0, sizeof(*h));
	for (int i = 0; i < HOT_KEYS_BUCKETS; i++)
		list_init(&h->buckets[i]);
	list_init(&h->ranked);
}

static struct hot_key *find(struct hot_keys *h, const char *route,
			    uint64_t hash)
{
	struct hot_key *k;

	list_for_each_entry(k, &h->buckets[hash % HOT_KEYS_BUCKETS], link)
		if (k->hash == hash && !strcmp(k->route, route))
			return k;
	return NULL;
}

/* Moves @k behind all items whose count is not higher. */
static void update_rank(struct hot_keys *h, struct hot_key *k)
{
	struct list *pos = k->ranked.next;

	list_remove(&k->ranked);
	while (pos != &h->ranked &&
	       list_entry(pos, struct hot_key, ranked)->count <= k->count)
		pos = pos->next;
	list_insert_before(pos, &k->ranked);
}

/*
 * An unused item, or else the item with the lowest count. A reused item keeps
 * its count, which becomes the error bound of the new key.
 */
static struct hot_key *allocate_item(struct hot_keys *h)
{
	struct hot_key *k;

	if (h->used < HOT_KEYS_MAX) {
		k = &h->items[h->used++];
		list_init(&k->link);
		list_push_front(&h->ranked, &k->ranked);
		return k;
	}
	k = list_entry(h->ranked.next, struct hot_key, ranked);
	k->error = k->count;
	list_remove(&k->link);
	return k;
}

void hot_keys_count(struct hot_keys *h, const char *route, uint32_t shard,
		    const char *key)
{
	uint64_t hash = XXH3_64bits(key, strlen(key));
	struct hot_key *k = find(h, route, hash);

	if (!k) {
		k = allocate_item(h);
		k->hash = hash;
		mem_copy_str(k->route, route, sizeof(k->route));
		list_push_back(&h->buckets[hash % HOT_KEYS_BUCKETS], &k->link);
	}
	k->shard = shard;
	k->count++;
	h->total++;
	update_rank(h, k);
}

static void halve_counts(struct hot_keys *h)
{
	struct hot_key *k;

	h->total /= 2;
	list_for_each_entry(k, &h->ranked, ranked) {
		k->count /= 2;
		k->error /= 2;
	}
}

/*
 * Halved at the end of each window, the count of a key with a steady rate
 * approaches the requests of two windows.
 */
static uint32_t rate_per_s(const struct hot_key *k)
{
	return (uint32_t)((k->count - k->error) / 2 * NS_PER_S / WINDOW_NS);
}

uint32_t hot_keys_report(struct hot_keys *h, uint64_t now_ns,
			 struct hot_report *out)
{
	uint32_t n = 0;

	if (now_ns < h->window_end_ns)
		return 0;
	for (struct list *l = h->ranked.prev;
	     l != &h->ranked && n < HOT_KEYS_REPORT_MAX; l = l->prev) {
		const struct hot_key *k = list_entry(l, struct hot_key, ranked);
		uint64_t count_min = k->count - k->error;

		if (rate_per_s(k) < HOT_RATE_MIN_PER_S ||
		    count_min * 100 < h->total * HOT_SHARE_MIN_PERCENT)
			continue;
		mem_copy_str(out[n].route, k->route, sizeof(out[n].route));
		out[n].shard = k->shard;
		out[n++].rate = rate_per_s(k);
	}
	halve_counts(h);
	h->window_end_ns = now_ns + WINDOW_NS;
	return n;
}
