#include "wire/manifest_codec.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "wire/pack.h"

/* Items of an encoded delta, after the fields of delta_table. */
enum delta_item {
	DELTA_HEAD,
	DELTA_REMOVED,
	DELTA_CHANGED,
	DELTA_SERVICES,
	DELTA_ORGANISATIONS, /* missing from builds without API keys */
	DELTA_ITEM_COUNT,
};

static const struct pack_field delta_fields[] = {
	PACK_NUMBER_OF(struct manifest_delta, base),
	PACK_NUMBER_OF(struct manifest_delta, revision),
	PACK_U64_OF(struct manifest_delta, version),
	PACK_U64_OF(struct manifest_delta, digest),
	PACK_U64_OF(struct manifest_delta, limits.header_bytes),
	PACK_U64_OF(struct manifest_delta, limits.body_bytes),
	PACK_U64_OF(struct manifest_delta, limits.header_timeout_ms),
	PACK_U64_OF(struct manifest_delta, limits.idle_timeout_ms),
	PACK_ERA_OF(struct manifest_delta, base),
	PACK_ERA_OF(struct manifest_delta, revision),
};
static const struct pack_table delta_table =
	PACK_TABLE_WITH_OPTIONAL(delta_fields, 2);

static const struct pack_field route_fields[] = {
	PACK_STR_OF(struct route, name),
	PACK_STR_OF(struct route, service),
	PACK_TEXT_OF(struct route, host),
	PACK_TEXT_OF(struct route, path),
	PACK_U32_OF(struct route, priority),
	PACK_U32_OF(struct route, max_attempts),
	PACK_U32_OF(struct route, idempotent),
	PACK_U64_OF(struct route, timeout_ms),
	PACK_U64_OF(struct route, objective_ms),
	PACK_BOOL_OF(struct route, invalid),
	PACK_BOOL_OF(struct route, open),
};
static const struct pack_table route_table =
	PACK_TABLE_WITH_OPTIONAL(route_fields, 1);

static const struct pack_field split_fields[] = {
	PACK_STR_OF(struct split, service),
	PACK_U32_OF(struct split, weight),
};
static const struct pack_table split_table = PACK_TABLE(split_fields);

static const struct pack_field service_fields[] = {
	PACK_STR_OF(struct service, name),
	PACK_BOOL_OF(struct service, keyed),
	PACK_U32_OF(struct service, max_connections),
};
static const struct pack_table service_table = PACK_TABLE(service_fields);

/* Items of the encoded changes of organisations. */
enum organisations_item {
	ORGANISATIONS_REQUIRED,
	ORGANISATIONS_REMOVED,
	ORGANISATIONS_CHANGED,
	ORGANISATIONS_ITEM_COUNT,
};

/* Items of an encoded organisation. */
enum organisation_item {
	ORGANISATION_FIELDS,
	ORGANISATION_RATE,
	ORGANISATION_BURST,
	ORGANISATION_REGIONS,
	ORGANISATION_KEYS,
	ORGANISATION_ITEM_COUNT,
};

/* The fields of an encoded organisation; its name is in full. */
struct packed_organisation {
	char *name;
	bool has_priority;
	uint32_t priority;
};

static const struct pack_field organisation_fields[] = {
	PACK_TEXT_OF(struct packed_organisation, name),
	PACK_BOOL_OF(struct packed_organisation, has_priority),
	PACK_U32_OF(struct packed_organisation, priority),
};
static const struct pack_table organisation_table =
	PACK_TABLE(organisation_fields);

static size_t list_length(const struct list *l)
{
	size_t n = 0;

	for (const struct list *p = l->next; p != l; p = p->next)
		n++;
	return n;
}

static void pack_regions(msgpack_packer *pk, const struct region_set *set)
{
	msgpack_pack_array(pk, set->count);
	for (uint32_t i = 0; i < set->count; i++)
		pack_str(pk, set->names[i]);
}

/* A route is an array: its fields, its splits, its regions. */
static void pack_route(msgpack_packer *pk, const struct route *r)
{
	msgpack_pack_array(pk, 3);
	pack_struct(pk, r, &route_table);
	msgpack_pack_array(pk, r->split_count);
	for (uint32_t i = 0; i < r->split_count; i++)
		pack_struct(pk, &r->splits[i], &split_table);
	pack_regions(pk, &r->home_regions);
}

/* A service is an array: its fields, its rate when cold. */
static void pack_service(msgpack_packer *pk, const struct service *s)
{
	msgpack_pack_array(pk, 2);
	pack_struct(pk, s, &service_table);
	msgpack_pack_double(pk, s->cold_per_s);
}

static void pack_organisation(msgpack_packer *pk, const struct organisation *o)
{
	const struct packed_organisation p = {
		.name = (char *)organisation_full_name(o),
		.has_priority = o->has_priority,
		.priority = o->priority,
	};
	const struct api_key *k;

	msgpack_pack_array(pk, ORGANISATION_ITEM_COUNT);
	pack_struct(pk, &p, &organisation_table);
	msgpack_pack_double(pk, o->rate_per_s);
	msgpack_pack_double(pk, o->burst);
	pack_regions(pk, &o->home_regions);
	msgpack_pack_array(pk, list_length(&o->api_keys));
	list_for_each_entry(k, &o->api_keys, link)
		pack_str(pk, k->text);
}

static void pack_organisations(msgpack_packer *pk,
			       const struct organisations_delta *d)
{
	const struct removed_organisation *x;
	const struct organisation *o;

	if (!d->known) {
		msgpack_pack_nil(pk);
		return;
	}
	msgpack_pack_array(pk, ORGANISATIONS_ITEM_COUNT);
	msgpack_pack_uint8(pk, d->api_keys_required);
	msgpack_pack_array(pk, list_length(&d->removed));
	list_for_each_entry(x, &d->removed, link)
		pack_str(pk, x->name);
	msgpack_pack_array(pk, list_length(&d->changed));
	list_for_each_entry(o, &d->changed, link)
		pack_organisation(pk, o);
}

void pack_manifest_delta(msgpack_packer *pk, const struct manifest_delta *d)
{
	const struct removed_route *x;
	const struct route *r;
	const struct service *s;

	msgpack_pack_array(pk, DELTA_ITEM_COUNT);
	pack_struct(pk, d, &delta_table);
	msgpack_pack_array(pk, list_length(&d->removed));
	list_for_each_entry(x, &d->removed, link)
		pack_str(pk, x->name);
	msgpack_pack_array(pk, list_length(&d->changed));
	list_for_each_entry(r, &d->changed, link)
		pack_route(pk, r);
	msgpack_pack_array(pk, list_length(&d->services));
	list_for_each_entry(s, &d->services, link)
		pack_service(pk, s);
	pack_organisations(pk, &d->organisations);
}

static bool is_array(const msgpack_object *o)
{
	return o && o->type == MSGPACK_OBJECT_ARRAY;
}

static bool unpack_name(const msgpack_object *o, char *dst, size_t cap)
{
	char *name = unpack_str(o);

	if (!name)
		return false;
	mem_copy_str(dst, name, cap);
	free(name);
	return true;
}

static bool unpack_splits(const msgpack_object *o, struct route *r)
{
	const msgpack_object *it;

	if (!is_array(o))
		return false;
	for (size_t i = 0; (it = unpack_at(o, i)); i++)
		if (!unpack_struct(it, route_add_split(r), &split_table))
			return false;
	return true;
}

static bool unpack_regions(const msgpack_object *o, struct region_set *set)
{
	const size_t max = sizeof(set->names) / sizeof(*set->names);

	if (!is_array(o) || o->via.array.size > max)
		return false;
	for (; set->count < o->via.array.size; set->count++)
		if (!unpack_name(unpack_at(o, set->count),
				 set->names[set->count], JD_NAME_MAX))
			return false;
	return true;
}

static bool unpack_route(const msgpack_object *o, struct route *r)
{
	return unpack_at(o, 0) &&
	       unpack_struct(unpack_at(o, 0), r, &route_table) &&
	       unpack_splits(unpack_at(o, 1), r) &&
	       unpack_regions(unpack_at(o, 2), &r->home_regions);
}

static bool unpack_double(const msgpack_object *o, double *v)
{
	if (!o || (o->type != MSGPACK_OBJECT_FLOAT64 &&
		   o->type != MSGPACK_OBJECT_FLOAT32))
		return false;
	*v = o->via.f64;
	return true;
}

static bool unpack_service(const msgpack_object *o, struct service *s)
{
	return unpack_struct(unpack_at(o, 0), s, &service_table) &&
	       unpack_double(unpack_at(o, 1), &s->cold_per_s);
}

static bool unpack_key(const msgpack_object *o, struct organisation *to)
{
	char *text = unpack_str(o);
	bool ok = text && *text;

	if (ok)
		organisation_add_key(to, text);
	free(text);
	return ok;
}

static bool unpack_organisation_fields(const msgpack_object *o,
				       struct organisation *to)
{
	struct packed_organisation p = {0};
	bool ok = unpack_struct(o, &p, &organisation_table);

	if (ok) {
		organisation_set_name(to, p.name);
		to->has_priority = p.has_priority;
		to->priority = p.priority;
	}
	free(p.name);
	return ok;
}

static bool unpack_organisation(const msgpack_object *o,
				struct organisation *to)
{
	const msgpack_object *keys = unpack_at(o, ORGANISATION_KEYS);
	const msgpack_object *it;

	if (!is_array(keys) ||
	    !unpack_organisation_fields(unpack_at(o, ORGANISATION_FIELDS),
					to) ||
	    !unpack_double(unpack_at(o, ORGANISATION_RATE), &to->rate_per_s) ||
	    !unpack_double(unpack_at(o, ORGANISATION_BURST), &to->burst) ||
	    !unpack_regions(unpack_at(o, ORGANISATION_REGIONS),
			    &to->home_regions))
		return false;
	for (size_t i = 0; (it = unpack_at(keys, i)); i++)
		if (!unpack_key(it, to))
			return false;
	return true;
}

static bool unpack_organisations(const msgpack_object *o,
				 struct organisations_delta *d)
{
	const msgpack_object *removed = unpack_at(o, ORGANISATIONS_REMOVED);
	const msgpack_object *changed = unpack_at(o, ORGANISATIONS_CHANGED);
	const msgpack_object *it;
	uint64_t required;

	if (!o || o->type == MSGPACK_OBJECT_NIL)
		return true;
	if (!is_array(removed) || !is_array(changed) ||
	    !unpack_u64(unpack_at(o, ORGANISATIONS_REQUIRED), &required))
		return false;
	d->known = true;
	d->api_keys_required = required != 0;
	for (size_t i = 0; (it = unpack_at(removed, i)); i++)
		if (!unpack_name(it, organisations_delta_add_removed(d)->name,
				 JD_NAME_MAX))
			return false;
	for (size_t i = 0; (it = unpack_at(changed, i)); i++)
		if (!unpack_organisation(it,
					 organisations_delta_add_changed(d)))
			return false;
	return true;
}

static bool unpack_items(const msgpack_object *o, struct manifest_delta *d)
{
	const msgpack_object *removed = unpack_at(o, DELTA_REMOVED);
	const msgpack_object *changed = unpack_at(o, DELTA_CHANGED);
	const msgpack_object *services = unpack_at(o, DELTA_SERVICES);
	const msgpack_object *it;

	if (!is_array(removed) || !is_array(changed) || !is_array(services) ||
	    !unpack_struct(unpack_at(o, DELTA_HEAD), d, &delta_table))
		return false;
	for (size_t i = 0; (it = unpack_at(removed, i)); i++)
		if (!unpack_name(it, manifest_delta_add_removed(d)->name,
				 JD_NAME_MAX))
			return false;
	for (size_t i = 0; (it = unpack_at(changed, i)); i++)
		if (!unpack_route(it, manifest_delta_add_route(d)))
			return false;
	for (size_t i = 0; (it = unpack_at(services, i)); i++)
		if (!unpack_service(it, manifest_delta_add_service(d)))
			return false;
	return unpack_organisations(unpack_at(o, DELTA_ORGANISATIONS),
				    &d->organisations);
}

struct manifest_delta *unpack_manifest_delta(const msgpack_object *o)
{
	struct manifest_delta *d = manifest_delta_new();

	if (unpack_items(o, d))
		return d;
	manifest_delta_unref(d);
	return NULL;
}
