#include "core/manifest.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#include "core/mem.h"
#include "core/name.h"
#include "core/organisations/api_keys.h"

#define ROUTE_TIMEOUT_DEFAULT_MS    2000
#define ROUTE_BODY_DEFAULT_BYTES    (1 << 20)
#define ROUTE_OBJECTIVE_DEFAULT_PPM 999000
#define ROUTE_OBJECTIVE_DEFAULT_MS  100
#define ORGANISATION_WEIGHT_DEFAULT 1

#define IDEMPOTENT_METHODS_DEFAULT                                             \
	(1u << METHOD_GET | 1u << METHOD_HEAD | 1u << METHOD_OPTIONS |         \
	 1u << METHOD_PUT | 1u << METHOD_DELETE)

const char *const method_names[METHOD_COUNT + 1] = {
	[METHOD_GET] = "GET",	      [METHOD_HEAD] = "HEAD",
	[METHOD_OPTIONS] = "OPTIONS", [METHOD_PUT] = "PUT",
	[METHOD_DELETE] = "DELETE",   [METHOD_POST] = "POST",
	[METHOD_PATCH] = "PATCH",
};

struct manifest *manifest_new(void)
{
	struct manifest *m = mem_new(struct manifest);

	list_init(&m->routes);
	list_init(&m->organisations);
	list_init(&m->data_centres);
	list_init(&m->services);
	return m;
}

static void drop_index(struct manifest *m)
{
	if (m->index) {
		free(m->index->buckets);
		free(m->index->has_length);
	}
	free(m->index);
	m->index = NULL;
}

struct organisation *organisation_new(void)
{
	struct organisation *o = mem_new(struct organisation);

	o->weight = ORGANISATION_WEIGHT_DEFAULT;
	list_init(&o->link);
	list_init(&o->api_keys);
	return o;
}

void organisation_delete(struct organisation *o)
{
	struct api_key *k, *tmp;

	list_for_each_entry_safe(k, tmp, &o->api_keys, link)
		free(k);
	free(o->long_name);
	free(o);
}

struct organisation *organisation_copy(const struct organisation *o)
{
	struct organisation *copy = mem_dup(o, sizeof(*o));
	const struct api_key *k;

	copy->long_name = mem_dup_str(o->long_name);
	list_init(&copy->link);
	list_init(&copy->api_keys);
	list_for_each_entry(k, &o->api_keys, link)
		organisation_add_key(copy, k->text);
	return copy;
}

void organisation_set_name(struct organisation *o, const char *name)
{
	name_copy(o->name, name, sizeof(o->name));
	free(o->long_name);
	o->long_name = strcmp(o->name, name) != 0 ? mem_dup_str(name) : NULL;
}

const char *organisation_full_name(const struct organisation *o)
{
	return o->long_name ? o->long_name : o->name;
}

void organisation_add_key(struct organisation *o, const char *text)
{
	size_t len = strlen(text);
	struct api_key *k = mem_zalloc(1, sizeof(*k) + len + 1);

	list_init(&k->by_text);
	k->organisation = o;
	memcpy(k->text, text, len);
	list_push_back(&o->api_keys, &k->link);
}

void manifest_delete(struct manifest *m)
{
	struct route *r, *rt;
	struct organisation *o, *ot;
	struct data_centre *d, *dt;
	struct service *s, *st;

	if (!m)
		return;
	drop_index(m);
	api_keys_delete(m->keys);
	list_for_each_entry_safe(r, rt, &m->routes, link)
		route_delete(r);
	list_for_each_entry_safe(o, ot, &m->organisations, link)
		organisation_delete(o);
	list_for_each_entry_safe(d, dt, &m->data_centres, link)
		free(d);
	list_for_each_entry_safe(s, st, &m->services, link)
		free(s);
	free(m);
}

/* Copies an item and returns its link, which is at offset @link. */
static struct list *item_copy(const void *item, size_t size, size_t link)
{
	char *c = mem_dup(item, size);

	return (struct list *)(c + link);
}

#define copy_items(to, from, type)                                             \
	do {                                                                   \
		const type *it_;                                               \
		list_for_each_entry(it_, from, link)                           \
			list_push_back(to, item_copy(it_, sizeof(*it_),        \
						     offsetof(type, link)));   \
	} while (0)

struct manifest *manifest_copy(const struct manifest *m)
{
	struct manifest *c = manifest_new();
	const struct organisation *o;
	const struct route *r;

	mem_copy_str(c->change_id, m->change_id, sizeof(c->change_id));
	list_for_each_entry(r, &m->routes, link)
		list_push_back(&c->routes, &route_copy(r)->link);
	list_for_each_entry(o, &m->organisations, link)
		list_push_back(&c->organisations, &organisation_copy(o)->link);
	copy_items(&c->data_centres, &m->data_centres, struct data_centre);
	copy_items(&c->services, &m->services, struct service);
	c->api_keys_required = m->api_keys_required;
	c->limits = m->limits;
	c->version = m->version;
	return c;
}

struct route *route_new(void)
{
	struct route *r = mem_new(struct route);

	r->host = mem_dup("", 0);
	r->path = mem_dup("", 0);
	r->shards = MANIFEST_SHARDS_DEFAULT;
	r->idempotent = IDEMPOTENT_METHODS_DEFAULT;
	r->timeout_ms = ROUTE_TIMEOUT_DEFAULT_MS;
	r->max_body_bytes = ROUTE_BODY_DEFAULT_BYTES;
	r->objective_ppm = ROUTE_OBJECTIVE_DEFAULT_PPM;
	r->objective_ms = ROUTE_OBJECTIVE_DEFAULT_MS;
	list_init(&r->link);
	list_init(&r->by_prefix);
	return r;
}

void route_delete(struct route *r)
{
	free(r->host);
	free(r->path);
	free(r->splits);
	free(r);
}

struct route *route_copy(const struct route *r)
{
	struct route *copy = mem_dup(r, sizeof(*r));

	list_init(&copy->link);
	list_init(&copy->by_prefix);
	copy->host = mem_dup(r->host, strlen(r->host));
	copy->path = mem_dup(r->path, strlen(r->path));
	copy->splits = mem_dup(r->splits, r->split_count * sizeof(*r->splits));
	return copy;
}

struct split *route_add_split(struct route *r)
{
	struct split *s;

	r->splits =
		mem_realloc(r->splits, r->split_count + 1, sizeof(*r->splits));
	s = &r->splits[r->split_count++];
	memset(s, 0, sizeof(*s));
	return s;
}

static void replace_text(char **to, const char *text)
{
	char *copy = mem_dup(text, strlen(text));

	free(*to);
	*to = copy;
}

void route_set_host(struct route *r, const char *text)
{
	replace_text(&r->host, text);
}

void route_set_path(struct route *r, const char *text)
{
	replace_text(&r->path, text);
}

struct route *manifest_add_route(struct manifest *m)
{
	struct route *r = route_new();

	list_push_back(&m->routes, &r->link);
	drop_index(m);
	return r;
}

struct organisation *manifest_add_organisation(struct manifest *m)
{
	struct organisation *o = organisation_new();

	list_push_back(&m->organisations, &o->link);
	return o;
}

struct data_centre *manifest_add_data_centre(struct manifest *m)
{
	struct data_centre *d = mem_new(struct data_centre);

	list_push_back(&m->data_centres, &d->link);
	return d;
}

struct service *manifest_add_service(struct manifest *m)
{
	struct service *s = mem_new(struct service);

	list_push_back(&m->services, &s->link);
	return s;
}

const struct service *manifest_service(const struct manifest *m,
				       const char *name)
{
	const struct service *s;

	list_for_each_entry(s, &m->services, link)
		if (!strcmp(s->name, name))
			return s;
	return NULL;
}

const struct route *manifest_route(const struct manifest *m, const char *name)
{
	const struct route *r;

	list_for_each_entry(r, &m->routes, link)
		if (!strcmp(r->name, name))
			return r;
	return NULL;
}

const struct organisation *manifest_organisation(const struct manifest *m,
						 const char *name)
{
	const struct organisation *o;

	list_for_each_entry(o, &m->organisations, link)
		if (!strcmp(o->name, name))
			return o;
	return NULL;
}

const struct data_centre *manifest_data_centre(const struct manifest *m,
					       const char *name)
{
	const struct data_centre *d;

	list_for_each_entry(d, &m->data_centres, link)
		if (!strcmp(d->name, name))
			return d;
	return NULL;
}

const struct route *manifest_match(const struct manifest *m, const char *path)
{
	return manifest_match_host(m, "", path);
}

static struct list *index_bucket(const struct route_index *x,
				 uint64_t host_hash, const char *path,
				 size_t len)
{
	return &x->buckets[XXH64(path, len, host_hash) % x->bucket_count];
}

static uint64_t hash_host(const char *host)
{
	uint64_t hash = 0;
	char lower[64];
	size_t len;

	do {
		for (len = 0; len < sizeof(lower) && *host; host++)
			lower[len++] = (char)(*host >= 'A' && *host <= 'Z'
						      ? *host + ('a' - 'A')
						      : *host);
		hash = XXH64(lower, len, hash);
	} while (*host);
	return hash;
}

void manifest_build_index(struct manifest *m)
{
	struct route_index *x = mem_new(struct route_index);
	uint32_t count = 0;
	struct route *r;

	drop_index(m);
	list_for_each_entry(r, &m->routes, link) {
		size_t len = strlen(r->path);

		r->position = count++;
		if (len > x->longest)
			x->longest = len;
	}
	x->has_length = mem_zalloc(x->longest + 1, sizeof(*x->has_length));
	x->bucket_count = 2 * (size_t)count + 1;
	x->buckets = mem_zalloc(x->bucket_count, sizeof(*x->buckets));
	for (size_t i = 0; i < x->bucket_count; i++)
		list_init(&x->buckets[i]);
	list_for_each_entry(r, &m->routes, link) {
		size_t len = strlen(r->path);

		x->has_length[len] = true;
		list_push_back(index_bucket(x, hash_host(r->host), r->path,
					    len),
			       &r->by_prefix);
	}
	m->index = x;
	api_keys_delete(m->keys);
	m->keys = api_keys_new(&m->organisations);
}

static const struct route *find_prefix(const struct route_index *x,
				       const char *host, uint64_t host_hash,
				       const char *path, size_t len)
{
	const struct route *r;

	list_for_each_entry(r, index_bucket(x, host_hash, path, len), by_prefix)
		if (strlen(r->path) == len && !memcmp(r->path, path, len) &&
		    !strcasecmp(r->host, host))
			return r;
	return NULL;
}

static const struct route *match_indexed(const struct route_index *x,
					 const char *host, const char *path)
{
	uint64_t host_hash = hash_host(host);
	uint64_t any_hash = hash_host("");

	for (size_t len = strnlen(path, x->longest) + 1; len-- > 0;) {
		const struct route *own, *any;

		if (!x->has_length[len])
			continue;
		own = find_prefix(x, host, host_hash, path, len);
		any = find_prefix(x, "", any_hash, path, len);
		if (own && any)
			return own->position < any->position ? own : any;
		if (own || any)
			return own ? own : any;
	}
	return NULL;
}

const struct route *manifest_match_host(const struct manifest *m,
					const char *host, const char *path)
{
	const struct route *best = NULL;
	const struct route *r;

	if (m->index)
		return match_indexed(m->index, host, path);
	list_for_each_entry(r, &m->routes, link) {
		if (r->host[0] && strcasecmp(r->host, host) != 0)
			continue;
		if (strncmp(r->path, path, strlen(r->path)) != 0)
			continue;
		if (!best || strlen(r->path) > strlen(best->path))
			best = r;
	}
	return best;
}

bool route_idempotent(const struct route *r, const char *method)
{
	for (int i = 0; i < METHOD_COUNT; i++)
		if (!strcmp(method_names[i], method))
			return r->idempotent & 1u << i;
	return false;
}

bool region_set_allows(const struct region_set *set, const char *region)
{
	if (!set->count)
		return true;
	for (uint32_t i = 0; i < set->count; i++)
		if (!strcmp(set->names[i], region))
			return true;
	return false;
}

bool region_set_intersect(const struct region_set *a,
			  const struct region_set *b, struct region_set *both)
{
	struct region_set out = {0};

	if (!a->count || !b->count) {
		*both = a->count ? *a : *b;
		return true;
	}
	for (uint32_t i = 0; i < a->count; i++)
		if (region_set_allows(b, a->names[i]))
			mem_copy_str(out.names[out.count++], a->names[i],
				     JD_NAME_MAX);
	*both = out;
	return out.count > 0;
}

const char *route_draw_service(const struct route *r, struct rng *rng)
{
	uint64_t total = 0;
	uint64_t draw;

	if (!r->split_count)
		return r->service;
	for (uint32_t i = 0; i < r->split_count; i++)
		total += r->splits[i].weight;
	draw = rng_below(rng, total);
	for (uint32_t i = 0; i < r->split_count; i++) {
		if (draw < r->splits[i].weight)
			return r->splits[i].service;
		draw -= r->splits[i].weight;
	}
	return r->splits[0].service;
}
