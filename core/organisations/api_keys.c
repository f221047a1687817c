#include "core/organisations/api_keys.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/mem.h"

#define BUCKETS_PER_KEY 2

static struct list *bucket_of(const struct api_key_index *x, const char *text)
{
	return &x->buckets[XXH3_64bits(text, strlen(text)) % x->bucket_count];
}

struct api_key_index *api_keys_new(const struct list *organisations)
{
	struct api_key_index *x = mem_new(struct api_key_index);
	const struct organisation *o;
	struct api_key *k;
	size_t count = 0;

	list_for_each_entry(o, organisations, link)
		list_for_each_entry(k, &o->api_keys, link)
			count++;
	x->bucket_count = BUCKETS_PER_KEY * count + 1;
	x->buckets = mem_zalloc(x->bucket_count, sizeof(*x->buckets));
	for (size_t i = 0; i < x->bucket_count; i++)
		list_init(&x->buckets[i]);
	list_for_each_entry(o, organisations, link)
		list_for_each_entry(k, &o->api_keys, link)
			list_push_back(bucket_of(x, k->text), &k->by_text);
	return x;
}

void api_keys_delete(struct api_key_index *x)
{
	if (x)
		free(x->buckets);
	free(x);
}

/* Notes the organisation of @k if that is the key @text. */
static void match_key(const struct api_key *k, const char *text,
		      const struct organisation **found, bool *shared)
{
	if (strcmp(k->text, text) != 0)
		return;
	*shared |= *found && *found != k->organisation;
	*found = k->organisation;
}

const struct organisation *api_keys_find(const struct manifest *m,
					 const char *text)
{
	const struct organisation *found = NULL;
	const struct organisation *o;
	const struct api_key *k;
	bool shared = false;

	if (m->keys) {
		list_for_each_entry(k, bucket_of(m->keys, text), by_text)
			match_key(k, text, &found, &shared);
		return shared ? NULL : found;
	}
	list_for_each_entry(o, &m->organisations, link)
		list_for_each_entry(k, &o->api_keys, link)
			match_key(k, text, &found, &shared);
	return shared ? NULL : found;
}
