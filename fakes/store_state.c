#include "fakes/store_state.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"

void store_state_init(struct store_state *s)
{
	memset(s, 0, sizeof(*s));
	list_init(&s->items);
	s->now = 1;
}

static void item_delete(struct store_item *it)
{
	list_remove(&it->link);
	free(it->key);
	free(it->value);
	free(it);
}

void store_state_done(struct store_state *s)
{
	struct store_item *it, *tmp;

	list_for_each_entry_safe(it, tmp, &s->items, link)
		item_delete(it);
}

struct store_item *store_state_find(struct store_state *s, const char *key)
{
	struct store_item *it;

	list_for_each_entry(it, &s->items, link)
		if (!strcmp(it->key, key))
			return it;
	return NULL;
}

static void put_value(struct store_state *s, struct store_item *it,
		      const char *value, uint64_t lapse_ns)
{
	free(it->value);
	it->value = value ? mem_dup(value, strlen(value)) : NULL;
	it->revision = ++s->now;
	it->lapse_ns = value ? lapse_ns : 0;
	list_remove(&it->link);
	list_push_back(&s->items, &it->link);
}

/* For a removed item, both 0 and the revision of its removal match. */
static bool revision_matches(const struct store_item *it, revision_t expected)
{
	if (!it)
		return expected == 0;
	return it->revision == expected || (!it->value && !expected);
}

enum store_result store_state_cas(struct store_state *s, const char *key,
				  revision_t expected, const char *value,
				  uint64_t lapse_ns)
{
	struct store_item *it = store_state_find(s, key);

	if (!revision_matches(it, expected))
		return STORE_REVISION_MISMATCH;
	if (!it) {
		it = mem_new(struct store_item);
		it->key = mem_dup(key, strlen(key));
		list_push_back(&s->items, &it->link);
	}
	put_value(s, it, value, lapse_ns);
	return STORE_WRITTEN;
}

enum store_result store_state_renew(struct store_state *s, const char *key,
				    revision_t expected, uint64_t lapse_ns)
{
	struct store_item *it = store_state_find(s, key);

	if (!it || !it->value || it->revision != expected)
		return STORE_REVISION_MISMATCH;
	it->lapse_ns = lapse_ns;
	return STORE_WRITTEN;
}

bool store_state_lapse(struct store_state *s, uint64_t now_ns)
{
	struct store_item *it, *tmp;
	bool any = false;

	list_for_each_entry_safe(it, tmp, &s->items, link) {
		if (!it->lapse_ns || now_ns < it->lapse_ns)
			continue;
		put_value(s, it, NULL, 0);
		any = true;
	}
	return any;
}

void store_state_lapse_all(struct store_state *s, const char *prefix)
{
	struct store_item *it;

	list_for_each_entry(it, &s->items, link)
		if (it->lapse_ns && !strncmp(it->key, prefix, strlen(prefix)))
			it->lapse_ns = 1;
}
