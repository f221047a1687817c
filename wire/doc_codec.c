#include "wire/doc_codec.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "wire/pack.h"
#include "wire/shard_codec.h"

/* Limit of shards of a route; documents with more are rejected. */
#define SHARDS_MAX (1u << 20)

static const struct pack_field route_fields[] = {
	PACK_STR_OF(struct route, name),
	PACK_STR_OF(struct route, service),
	PACK_TEXT_OF(struct route, path),
	PACK_ENUM_OF(struct route, kind, ROUTE_ANY + 1),
	PACK_ENUM_OF(struct route, key.source, KEY_PATH + 1),
	PACK_STR_OF(struct route, key.name),
	PACK_U32_OF(struct route, key.segment),
	PACK_U32_OF(struct route, shards),
	PACK_U64_OF(struct route, timeout_ms),
	PACK_U64_OF(struct route, max_body_bytes),
	PACK_U32_OF(struct route, objective_ppm),
	PACK_U64_OF(struct route, objective_ms),
	PACK_U32_OF(struct route, idempotent),
};
static const struct pack_table route_table = PACK_TABLE(route_fields);

static const struct pack_field organisation_fields[] = {
	PACK_STR_OF(struct organisation, name),
	PACK_U32_OF(struct organisation, weight),
};
static const struct pack_table organisation_table =
	PACK_TABLE(organisation_fields);

static const struct pack_field data_centre_fields[] = {
	PACK_STR_OF(struct data_centre, name),
	PACK_STR_OF(struct data_centre, region),
	PACK_ENUM_OF(struct data_centre, state, DC_OUT + 1),
};
static const struct pack_table data_centre_table =
	PACK_TABLE(data_centre_fields);

static const struct pack_field member_fields[] = {
	PACK_STR_OF(struct member, name),
	PACK_U64_OF(struct member, inc),
	PACK_STR_OF(struct member, service),
	PACK_STR_OF(struct member, peer_addr),
	PACK_STR_OF(struct member, http_addr),
	PACK_ENUM_OF(struct member, state, MEMBER_REVOKED + 1),
	PACK_U64_OF(struct member, keeper),
	PACK_U64_OF(struct member, term),
	PACK_U64_OF(struct member, former_keeper),
};
const struct pack_table member_table = PACK_TABLE(member_fields);

static const struct pack_field contact_fields[] = {
	PACK_U64_OF(struct contact, node),
	PACK_U64_OF(struct contact, count),
};
static const struct pack_table contact_table = PACK_TABLE(contact_fields);

static const struct pack_field planner_fields[] = {
	PACK_U64_OF(struct role, holder),
	PACK_U64_OF(struct role, term),
};
static const struct pack_table planner_table = PACK_TABLE(planner_fields);

static const struct pack_field key_fields[] = {
	PACK_ENUM_OF(struct doc, key.kind, DOC_KIND_COUNT),
	PACK_STR_OF(struct doc, key.name),
	PACK_U64_OF(struct doc, revision),
};
static const struct pack_table key_table = PACK_TABLE(key_fields);

static void pack_regions(msgpack_packer *pk, const struct region_set *s)
{
	msgpack_pack_array(pk, s->count);
	for (uint32_t i = 0; i < s->count; i++)
		pack_str(pk, s->names[i]);
}

static bool unpack_regions(const msgpack_object *o, struct region_set *s)
{
	const uint32_t max = sizeof(s->names) / sizeof(s->names[0]);

	if (!o || o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size > max)
		return false;
	s->count = o->via.array.size;
	for (uint32_t i = 0; i < s->count; i++) {
		char *name = unpack_str(unpack_at(o, i));

		if (!name)
			return false;
		mem_copy_str(s->names[i], name, sizeof(s->names[i]));
		free(name);
	}
	return true;
}

static uint32_t list_length(const struct list *l)
{
	uint32_t n = 0;

	for (const struct list *p = l->next; p != l; p = p->next)
		n++;
	return n;
}

static void pack_manifest(msgpack_packer *pk, const struct manifest *m)
{
	const struct route *r;
	const struct organisation *g;
	const struct data_centre *d;

	msgpack_pack_array(pk, 4);
	pack_str(pk, m->change_id);
	msgpack_pack_array(pk, list_length(&m->routes));
	list_for_each_entry(r, &m->routes, link) {
		msgpack_pack_array(pk, 2);
		pack_struct(pk, r, &route_table);
		pack_regions(pk, &r->home_regions);
	}
	msgpack_pack_array(pk, list_length(&m->organisations));
	list_for_each_entry(g, &m->organisations, link) {
		msgpack_pack_array(pk, 2);
		pack_struct(pk, g, &organisation_table);
		pack_regions(pk, &g->home_regions);
	}
	msgpack_pack_array(pk, list_length(&m->data_centres));
	list_for_each_entry(d, &m->data_centres, link)
		pack_struct(pk, d, &data_centre_table);
}

static bool unpack_routes(const msgpack_object *o, struct manifest *m)
{
	const msgpack_object *it;

	if (!o || o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (size_t i = 0; (it = unpack_at(o, i)); i++) {
		struct route *r = manifest_add_route(m);

		if (!unpack_struct(unpack_at(it, 0), r, &route_table) ||
		    !unpack_regions(unpack_at(it, 1), &r->home_regions) ||
		    !r->shards || r->shards > SHARDS_MAX)
			return false;
	}
	return true;
}

static bool unpack_organisations(const msgpack_object *o, struct manifest *m)
{
	const msgpack_object *it;

	if (!o || o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (size_t i = 0; (it = unpack_at(o, i)); i++) {
		struct organisation *g = manifest_add_organisation(m);

		if (!unpack_struct(unpack_at(it, 0), g, &organisation_table) ||
		    !unpack_regions(unpack_at(it, 1), &g->home_regions))
			return false;
	}
	return true;
}

static bool unpack_data_centres(const msgpack_object *o, struct manifest *m)
{
	const msgpack_object *it;

	if (!o || o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (size_t i = 0; (it = unpack_at(o, i)); i++)
		if (!unpack_struct(it, manifest_add_data_centre(m),
				   &data_centre_table))
			return false;
	return true;
}

static bool unpack_manifest(const msgpack_object *o, struct doc *d)
{
	struct manifest *m = manifest_new();
	char *id = unpack_str(unpack_at(o, 0));

	d->u.manifest = m;
	if (!id)
		return false;
	mem_copy_str(m->change_id, id, sizeof(m->change_id));
	free(id);
	return unpack_routes(unpack_at(o, 1), m) &&
	       unpack_organisations(unpack_at(o, 2), m) &&
	       unpack_data_centres(unpack_at(o, 3), m);
}

static void pack_roster(msgpack_packer *pk, const struct roster *r)
{
	const struct member *m;

	msgpack_pack_array(pk, 2);
	pack_str(pk, r->region);
	msgpack_pack_array(pk, list_length(&r->members));
	list_for_each_entry(m, &r->members, link)
		pack_struct(pk, m, &member_table);
}

static bool unpack_roster(const msgpack_object *o, struct doc *d)
{
	char *region = unpack_str(unpack_at(o, 0));
	const msgpack_object *members = unpack_at(o, 1);
	const msgpack_object *it;

	if (!region)
		return false;
	d->u.roster = roster_new(d->key.name, region);
	free(region);
	if (!members || members->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (size_t i = 0; (it = unpack_at(members, i)); i++)
		if (!unpack_struct(it, roster_add(d->u.roster, "", 0),
				   &member_table))
			return false;
	return true;
}

/*
 * One flat array of numbers packs and parses faster than an array for each
 * shard. The incarnation table stands first but is complete only after the
 * shards, so these are packed into a buffer of their own.
 */
static void pack_map(msgpack_packer *pk, const struct shard_map *m)
{
	struct incarnation_table incs = {0};
	msgpack_sbuffer body;
	msgpack_packer bpk;

	msgpack_sbuffer_init(&body);
	msgpack_packer_init(&bpk, &body, msgpack_sbuffer_write);
	msgpack_pack_array(&bpk, (size_t)m->count * 3);
	for (uint32_t i = 0; i < m->count; i++)
		pack_shard(&bpk, &m->shards[i], &incs);
	pack_pinned(&bpk, &m->pinned, &incs);
	msgpack_pack_array(pk, 3);
	pack_incarnations(pk, &incs);
	msgpack_sbuffer_write(pk->data, body.data, body.size);
	msgpack_sbuffer_destroy(&body);
	free(incs.items);
}

static bool unpack_map(const msgpack_object *o, struct doc *d)
{
	const msgpack_object *incs = unpack_at(o, 0);
	const msgpack_object *shards = unpack_at(o, 1);
	const msgpack_object *pinned = unpack_at(o, 2);
	struct shard_map *m;
	uint32_t n;

	if (!shards || shards->type != MSGPACK_OBJECT_ARRAY)
		return false;
	n = shards->via.array.size / 3;
	if (!n || n > SHARDS_MAX || shards->via.array.size % 3)
		return false;
	m = shard_map_new(d->key.name, n);
	d->u.map = m;
	for (uint32_t i = 0; i < n; i++)
		if (!unpack_shard(incs, shards, (size_t)i * 3, &m->shards[i]))
			return false;
	return unpack_pinned(incs, pinned, &m->pinned);
}

void pack_doc(msgpack_packer *pk, const struct doc *d)
{
	if (doc_absent(d)) {
		msgpack_pack_nil(pk);
		return;
	}
	switch (d->key.kind) {
	case DOC_MANIFEST:
		pack_manifest(pk, d->u.manifest);
		break;
	case DOC_ROSTER:
		pack_roster(pk, d->u.roster);
		break;
	case DOC_MAP:
		pack_map(pk, d->u.map);
		break;
	case DOC_CONTACT:
		pack_struct(pk, &d->u.contact, &contact_table);
		break;
	case DOC_PLANNER:
		pack_struct(pk, &d->u.planner, &planner_table);
		break;
	case DOC_KIND_COUNT:
		break;
	}
}

bool unpack_doc(const msgpack_object *o, struct doc *d)
{
	if (!o)
		return false;
	if (o->type == MSGPACK_OBJECT_NIL)
		return true;
	switch (d->key.kind) {
	case DOC_MANIFEST:
		return unpack_manifest(o, d);
	case DOC_ROSTER:
		return unpack_roster(o, d);
	case DOC_MAP:
		return unpack_map(o, d);
	case DOC_CONTACT:
		return unpack_struct(o, &d->u.contact, &contact_table);
	case DOC_PLANNER:
		return unpack_struct(o, &d->u.planner, &planner_table);
	case DOC_KIND_COUNT:
		break;
	}
	return false;
}

void pack_doc_with_key(msgpack_packer *pk, const struct doc *d)
{
	msgpack_pack_array(pk, 2);
	pack_struct(pk, d, &key_table);
	pack_doc(pk, d);
}

struct doc *unpack_doc_with_key(const msgpack_object *o)
{
	struct doc *d = doc_new(DOC_MANIFEST, "");
	struct doc *full;

	if (!unpack_struct(unpack_at(o, 0), d, &key_table)) {
		free(d);
		return NULL;
	}
	full = doc_new(d->key.kind, d->key.name);
	full->revision = d->revision;
	free(d);
	if (unpack_doc(unpack_at(o, 1), full))
		return full;
	doc_delete(full);
	return NULL;
}
