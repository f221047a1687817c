#include "core/manifest_delta.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/mem.h"

struct manifest_delta *manifest_delta_new(void)
{
	struct manifest_delta *d = mem_new(struct manifest_delta);

	d->refs = 1;
	list_init(&d->removed);
	list_init(&d->changed);
	list_init(&d->services);
	organisations_delta_init(&d->organisations);
	return d;
}

struct manifest_delta *manifest_delta_ref(struct manifest_delta *d)
{
	d->refs++;
	return d;
}

void manifest_delta_unref(struct manifest_delta *d)
{
	struct removed_route *x, *xt;
	struct route *r, *rt;
	struct service *s, *st;

	if (!d || --d->refs)
		return;
	list_for_each_entry_safe(x, xt, &d->removed, link)
		free(x);
	list_for_each_entry_safe(r, rt, &d->changed, link)
		route_delete(r);
	list_for_each_entry_safe(s, st, &d->services, link)
		free(s);
	organisations_delta_done(&d->organisations);
	free(d);
}

struct removed_route *manifest_delta_add_removed(struct manifest_delta *d)
{
	struct removed_route *x = mem_new(struct removed_route);

	list_push_back(&d->removed, &x->link);
	return x;
}

struct route *manifest_delta_add_route(struct manifest_delta *d)
{
	struct route *r = route_new();

	list_push_back(&d->changed, &r->link);
	return r;
}

struct service *manifest_delta_add_service(struct manifest_delta *d)
{
	struct service *s = mem_new(struct service);

	list_push_back(&d->services, &s->link);
	return s;
}

static void hash_str(XXH3_state_t *h, const char *s)
{
	XXH3_64bits_update(h, s, strlen(s) + 1);
}

static void hash_u64(XXH3_state_t *h, uint64_t v)
{
	XXH3_64bits_update(h, &v, sizeof(v));
}

static uint64_t route_digest(XXH3_state_t *h, const struct route *r)
{
	XXH3_64bits_reset(h);
	hash_str(h, r->name);
	hash_str(h, r->service);
	hash_str(h, r->host);
	hash_str(h, r->path);
	for (uint32_t i = 0; i < r->split_count; i++) {
		hash_str(h, r->splits[i].service);
		hash_u64(h, r->splits[i].weight);
	}
	hash_u64(h, r->split_count);
	hash_u64(h, r->priority);
	hash_u64(h, r->max_attempts);
	hash_u64(h, r->idempotent);
	hash_u64(h, r->timeout_ms);
	hash_u64(h, r->objective_ms);
	hash_u64(h, r->invalid);
	for (uint32_t i = 0; i < r->home_regions.count; i++)
		hash_str(h, r->home_regions.names[i]);
	hash_u64(h, r->home_regions.count);
	/* Builds that know no open routes compute the same digest without. */
	if (r->open)
		hash_u64(h, r->open);
	return XXH3_64bits_digest(h);
}

static uint64_t service_digest(XXH3_state_t *h, const struct service *s)
{
	XXH3_64bits_reset(h);
	hash_str(h, s->name);
	hash_u64(h, s->keyed);
	XXH3_64bits_update(h, &s->cold_per_s, sizeof(s->cold_per_s));
	hash_u64(h, s->max_connections);
	return XXH3_64bits_digest(h);
}

static uint64_t head_digest(XXH3_state_t *h, const struct manifest *m)
{
	XXH3_64bits_reset(h);
	hash_u64(h, m->version);
	hash_u64(h, m->limits.header_bytes);
	hash_u64(h, m->limits.body_bytes);
	hash_u64(h, m->limits.header_timeout_ms);
	hash_u64(h, m->limits.idle_timeout_ms);
	return XXH3_64bits_digest(h);
}

uint64_t manifest_digest(const struct manifest *m)
{
	XXH3_state_t *h = XXH3_createState();
	const struct route *r;
	const struct service *s;
	uint64_t sum = head_digest(h, m) + organisations_digest(m);

	list_for_each_entry(r, &m->routes, link)
		sum += route_digest(h, r);
	list_for_each_entry(s, &m->services, link)
		sum += service_digest(h, s);
	XXH3_freeState(h);
	return sum;
}

/* A route with its digest, in an array sorted by name. */
struct named_route {
	const struct route *route;
	uint64_t digest;
};

static int compare_names(const void *a, const void *b)
{
	return strcmp(((const struct named_route *)a)->route->name,
		      ((const struct named_route *)b)->route->name);
}

/* Allocates the array of the routes of @m, sorted by name. */
static struct named_route *sort_routes(const struct manifest *m, size_t *count)
{
	XXH3_state_t *h = XXH3_createState();
	struct named_route *items;
	const struct route *r;
	size_t n = 0;

	list_for_each_entry(r, &m->routes, link)
		n++;
	items = mem_zalloc(n + 1, sizeof(*items));
	*count = 0;
	list_for_each_entry(r, &m->routes, link) {
		items[*count].route = r;
		items[(*count)++].digest = route_digest(h, r);
	}
	qsort(items, n, sizeof(*items), compare_names);
	XXH3_freeState(h);
	return items;
}

static void push_route_copy(struct list *to, const struct route *r)
{
	list_push_back(to, &route_copy(r)->link);
}

static void push_service_copy(struct list *to, const struct service *s)
{
	struct service *copy = mem_dup(s, sizeof(*s));

	list_push_back(to, &copy->link);
}

static size_t changes_max(size_t routes)
{
	return routes > MANIFEST_DELTA_ROUTES_MIN ? routes
						  : MANIFEST_DELTA_ROUTES_MIN;
}

/* Adds the differences of the routes to @d; false if there are too many. */
static bool add_route_changes(struct manifest_delta *d,
			      const struct manifest *a,
			      const struct manifest *b)
{
	size_t a_count, b_count, i = 0, j = 0, changes = 0;
	struct named_route *from = sort_routes(a, &a_count);
	struct named_route *to = sort_routes(b, &b_count);
	size_t max = changes_max(b_count);

	while ((i < a_count || j < b_count) && changes <= max) {
		int order = i == a_count   ? 1
			    : j == b_count ? -1
					   : compare_names(&from[i], &to[j]);

		if (order < 0) {
			mem_copy_str(manifest_delta_add_removed(d)->name,
				     from[i++].route->name, JD_NAME_MAX);
			changes++;
			continue;
		}
		if (order > 0 || from[i].digest != to[j].digest) {
			push_route_copy(&d->changed, to[j].route);
			changes++;
		}
		i += order == 0;
		j++;
	}
	free(from);
	free(to);
	return changes <= max;
}

/* A delta with all of @m but its routes. */
static struct manifest_delta *delta_without_routes(const struct manifest *m,
						   revision_t base,
						   revision_t revision)
{
	struct manifest_delta *d = manifest_delta_new();
	const struct service *s;

	d->base = base;
	d->revision = revision;
	d->version = m->version;
	d->digest = manifest_digest(m);
	d->limits = m->limits;
	list_for_each_entry(s, &m->services, link)
		push_service_copy(&d->services, s);
	return d;
}

struct manifest_delta *manifest_delta_whole(const struct manifest *m,
					    revision_t revision)
{
	struct manifest_delta *d = delta_without_routes(m, 0, revision);
	const struct route *r;

	list_for_each_entry(r, &m->routes, link)
		push_route_copy(&d->changed, r);
	organisations_delta_whole(&d->organisations, m);
	return d;
}

struct manifest_delta *manifest_delta_between(const struct manifest *a,
					      revision_t base,
					      const struct manifest *b,
					      revision_t revision)
{
	struct manifest_delta *d = delta_without_routes(b, base, revision);
	struct manifest *rebuilt = NULL;

	if (add_route_changes(d, a, b) &&
	    organisations_delta_between(&d->organisations, a, b))
		rebuilt = manifest_delta_apply(d, a);
	if (!rebuilt) {
		manifest_delta_unref(d);
		return NULL;
	}
	manifest_delete(rebuilt);
	return d;
}

static int compare_strings(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Allocates the sorted array of the names of routes that @d replaces. */
static const char **sort_replaced(const struct manifest_delta *d, size_t *count)
{
	const struct removed_route *x;
	const struct route *r;
	const char **names;
	size_t n = 0;

	list_for_each_entry(x, &d->removed, link)
		n++;
	list_for_each_entry(r, &d->changed, link)
		n++;
	names = mem_zalloc(n + 1, sizeof(*names));
	*count = 0;
	list_for_each_entry(x, &d->removed, link)
		names[(*count)++] = x->name;
	list_for_each_entry(r, &d->changed, link)
		names[(*count)++] = r->name;
	qsort(names, n, sizeof(*names), compare_strings);
	return names;
}

static void push_kept_routes(struct manifest *out,
			     const struct manifest_delta *d,
			     const struct manifest *m)
{
	size_t count;
	const char **replaced = sort_replaced(d, &count);
	const struct route *r;

	list_for_each_entry(r, &m->routes, link) {
		const char *name = r->name;

		if (!bsearch(&name, replaced, count, sizeof(*replaced),
			     compare_strings))
			push_route_copy(&out->routes, r);
	}
	free(replaced);
}

struct manifest *manifest_delta_apply(const struct manifest_delta *d,
				      const struct manifest *m)
{
	struct manifest *out;
	const struct route *r;
	const struct service *s;

	/* Taken for a manifest without, it would open every route. */
	if (!d->organisations.known)
		return NULL;
	out = manifest_new();
	out->version = d->version;
	out->limits = d->limits;
	if (d->base)
		push_kept_routes(out, d, m);
	list_for_each_entry(r, &d->changed, link)
		push_route_copy(&out->routes, r);
	list_for_each_entry(s, &d->services, link)
		push_service_copy(&out->services, s);
	organisations_delta_apply(&d->organisations, d->base ? m : NULL, out);
	if (manifest_digest(out) == d->digest)
		return out;
	manifest_delete(out);
	return NULL;
}
