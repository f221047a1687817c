#include "core/organisations/organisations_delta.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/mem.h"

void organisations_delta_init(struct organisations_delta *d)
{
	memset(d, 0, sizeof(*d));
	list_init(&d->removed);
	list_init(&d->changed);
}

void organisations_delta_done(struct organisations_delta *d)
{
	struct removed_organisation *x, *xt;
	struct organisation *o, *ot;

	list_for_each_entry_safe(x, xt, &d->removed, link)
		free(x);
	list_for_each_entry_safe(o, ot, &d->changed, link)
		organisation_delete(o);
}

struct removed_organisation *
organisations_delta_add_removed(struct organisations_delta *d)
{
	struct removed_organisation *x = mem_new(struct removed_organisation);

	list_push_back(&d->removed, &x->link);
	return x;
}

struct organisation *
organisations_delta_add_changed(struct organisations_delta *d)
{
	struct organisation *o = organisation_new();

	list_push_back(&d->changed, &o->link);
	return o;
}

static void hash_str(XXH3_state_t *h, const char *s)
{
	XXH3_64bits_update(h, s, strlen(s) + 1);
}

static void hash_u64(XXH3_state_t *h, uint64_t v)
{
	XXH3_64bits_update(h, &v, sizeof(v));
}

static uint64_t organisation_digest(XXH3_state_t *h,
				    const struct organisation *o)
{
	const struct api_key *k;

	XXH3_64bits_reset(h);
	hash_str(h, o->name);
	hash_u64(h, o->has_priority);
	hash_u64(h, o->priority);
	XXH3_64bits_update(h, &o->rate_per_s, sizeof(o->rate_per_s));
	XXH3_64bits_update(h, &o->burst, sizeof(o->burst));
	hash_u64(h, o->home_regions.count);
	for (uint32_t i = 0; i < o->home_regions.count; i++)
		hash_str(h, o->home_regions.names[i]);
	list_for_each_entry(k, &o->api_keys, link)
		hash_str(h, k->text);
	return XXH3_64bits_digest(h);
}

uint64_t organisations_digest(const struct manifest *m)
{
	XXH3_state_t *h = XXH3_createState();
	const struct organisation *o;
	uint64_t sum = m->api_keys_required;

	list_for_each_entry(o, &m->organisations, link)
		sum += organisation_digest(h, o);
	XXH3_freeState(h);
	return sum;
}

/* An organisation with its digest, in an array sorted by name. */
struct named_organisation {
	const struct organisation *organisation;
	uint64_t digest;
};

static int compare_names(const void *a, const void *b)
{
	return strcmp(
		((const struct named_organisation *)a)->organisation->name,
		((const struct named_organisation *)b)->organisation->name);
}

/* Allocates the array of the organisations of @m, sorted by name. */
static struct named_organisation *sort_organisations(const struct manifest *m,
						     size_t *count)
{
	XXH3_state_t *h = XXH3_createState();
	struct named_organisation *items;
	const struct organisation *o;
	size_t n = 0;

	list_for_each_entry(o, &m->organisations, link)
		n++;
	items = mem_zalloc(n + 1, sizeof(*items));
	*count = 0;
	list_for_each_entry(o, &m->organisations, link) {
		items[*count].organisation = o;
		items[(*count)++].digest = organisation_digest(h, o);
	}
	qsort(items, n, sizeof(*items), compare_names);
	XXH3_freeState(h);
	return items;
}

static void push_copy(struct list *to, const struct organisation *o)
{
	list_push_back(to, &organisation_copy(o)->link);
}

void organisations_delta_whole(struct organisations_delta *d,
			       const struct manifest *m)
{
	const struct organisation *o;

	d->known = true;
	d->api_keys_required = m->api_keys_required;
	list_for_each_entry(o, &m->organisations, link)
		push_copy(&d->changed, o);
}

bool organisations_delta_between(struct organisations_delta *d,
				 const struct manifest *a,
				 const struct manifest *b)
{
	size_t a_count, b_count, i = 0, j = 0, changes = 0;
	struct named_organisation *from = sort_organisations(a, &a_count);
	struct named_organisation *to = sort_organisations(b, &b_count);
	size_t max = b_count > ORGANISATIONS_DELTA_MIN
			     ? b_count
			     : ORGANISATIONS_DELTA_MIN;

	d->known = true;
	d->api_keys_required = b->api_keys_required;
	while ((i < a_count || j < b_count) && changes <= max) {
		int order = i == a_count   ? 1
			    : j == b_count ? -1
					   : compare_names(&from[i], &to[j]);

		if (order < 0) {
			mem_copy_str(organisations_delta_add_removed(d)->name,
				     from[i++].organisation->name, JD_NAME_MAX);
			changes++;
			continue;
		}
		if (order > 0 || from[i].digest != to[j].digest) {
			push_copy(&d->changed, to[j].organisation);
			changes++;
		}
		i += order == 0;
		j++;
	}
	free(from);
	free(to);
	return changes <= max;
}

static int compare_strings(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Allocates the sorted array of the names that @d removes or replaces. */
static const char **sort_replaced(const struct organisations_delta *d,
				  size_t *count)
{
	const struct removed_organisation *x;
	const struct organisation *o;
	const char **names;
	size_t n = 0;

	list_for_each_entry(x, &d->removed, link)
		n++;
	list_for_each_entry(o, &d->changed, link)
		n++;
	names = mem_zalloc(n + 1, sizeof(*names));
	*count = 0;
	list_for_each_entry(x, &d->removed, link)
		names[(*count)++] = x->name;
	list_for_each_entry(o, &d->changed, link)
		names[(*count)++] = o->name;
	qsort(names, n, sizeof(*names), compare_strings);
	return names;
}

static void push_kept(const struct organisations_delta *d,
		      const struct manifest *m, struct manifest *out)
{
	size_t count;
	const char **replaced = sort_replaced(d, &count);
	const struct organisation *o;

	list_for_each_entry(o, &m->organisations, link) {
		const char *name = o->name;

		if (!bsearch(&name, replaced, count, sizeof(*replaced),
			     compare_strings))
			push_copy(&out->organisations, o);
	}
	free(replaced);
}

void organisations_delta_apply(const struct organisations_delta *d,
			       const struct manifest *m, struct manifest *out)
{
	const struct organisation *o;

	out->api_keys_required = d->api_keys_required;
	if (m)
		push_kept(d, m, out);
	list_for_each_entry(o, &d->changed, link)
		push_copy(&out->organisations, o);
}
