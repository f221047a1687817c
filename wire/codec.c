#include "wire/codec.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "wire/delta_codec.h"
#include "wire/doc_codec.h"
#include "wire/mesh_codec.h"
#include "wire/pack.h"

static const struct pack_field envelope_fields[] = {
	PACK_ENUM_OF(struct message, kind, MSG_KIND_COUNT),
	PACK_U64_OF(struct message, from),
	PACK_U64_OF(struct message, to),
};
static const struct pack_table envelope_table = PACK_TABLE(envelope_fields);

static const struct pack_field heartbeat_fields[] = {
	PACK_STR_OF(struct msg_heartbeat, dc),
	PACK_U64_OF(struct msg_heartbeat, sent_ns),
	PACK_U64_OF(struct msg_heartbeat, term),
	PACK_U64_OF(struct msg_heartbeat, revision),
	PACK_BOOL_OF(struct msg_heartbeat, needs_documents),
};

static const struct pack_field heartbeat_ack_fields[] = {
	PACK_U64_OF(struct msg_heartbeat_ack, sent_ns),
	PACK_U64_OF(struct msg_heartbeat_ack, term),
	PACK_U64_OF(struct msg_heartbeat_ack, revision),
};

static const struct pack_field adopt_fields[] = {
	PACK_STR_OF(struct msg_adopt, dc),
	PACK_U64_OF(struct msg_adopt, old_term),
};

static const struct pack_field sync_fields[] = {
	PACK_U64_OF(struct msg_sync, from),
	PACK_U64_OF(struct msg_sync, to),
};

static const struct pack_field release_fields[] = {
	PACK_STR_OF(struct msg_release, route),
	PACK_U32_OF(struct msg_release, count),
};

static const struct pack_field hot_keys_fields[] = {
	PACK_U32_OF(struct msg_hot_keys, count),
};

static const struct pack_field hot_report_fields[] = {
	PACK_STR_OF(struct hot_report, route),
	PACK_U32_OF(struct hot_report, shard),
	PACK_U32_OF(struct hot_report, rate),
};
static const struct pack_table hot_report_table = PACK_TABLE(hot_report_fields);

static const struct pack_field forward_fields[] = {
	PACK_U64_OF(struct msg_forward, id.node),
	PACK_U64_OF(struct msg_forward, id.counter),
	PACK_U32_OF(struct msg_forward, attempt),
	PACK_U64_OF(struct msg_forward, sequence),
	PACK_U64_OF(struct msg_forward, time_left_ns),
	PACK_STR_OF(struct msg_forward, reply_to),
	PACK_STR_OF(struct msg_forward, route),
	PACK_STR_OF(struct msg_forward, key),
	PACK_TEXT_OF(struct msg_forward, organisation),
	PACK_BOOL_OF(struct msg_forward, idempotent),
	PACK_U64_OF(struct msg_forward, sent_ns),
	PACK_U64_OF(struct msg_forward, objective_ns),
	PACK_U32_OF(struct msg_forward, priority),
	PACK_U32_OF(struct msg_forward, shard),
	PACK_BOOL_OF(struct msg_forward, keyed),
	PACK_TEXT_OF(struct msg_forward, caller_id),
	PACK_TEXT_OF(struct msg_forward, caller_service),
	PACK_BOOL_OF(struct msg_forward, call),
	PACK_BOOL_OF(struct msg_forward, again),
};

/* The fields of the struct gate_load that @type has as its member load. */
#define PACK_GATE_LOAD(type)                                                   \
	PACK_U32_OF(type, load.running), PACK_U32_OF(type, load.waiting),      \
		PACK_U32_OF(type, load.limit),                                 \
		PACK_U64_OF(type, load.service_ns),                            \
		PACK_BOOL_OF(type, load.open), PACK_BOOL_OF(type, load.cold)

static const struct pack_field answer_fields[] = {
	PACK_U64_OF(struct msg_answer, id.node),
	PACK_U64_OF(struct msg_answer, id.counter),
	PACK_U32_OF(struct msg_answer, attempt),
	PACK_ENUM_OF(struct msg_answer, outcome, OUTCOME_COUNT),
	PACK_NUMBER_OF(struct msg_answer, revision),
	PACK_ENUM_OF(struct msg_answer, refusal, REFUSAL_COUNT),
	PACK_U64_OF(struct msg_answer, retry_after_ns),
	PACK_GATE_LOAD(struct msg_answer),
	PACK_BOOL_OF(struct msg_answer, internal_route),
	PACK_ERA_OF(struct msg_answer, revision),
	PACK_U32_OF(struct msg_answer, load.transit_ms),
	PACK_U32_OF(struct msg_answer, load.work_percent),
	PACK_U64_OF(struct msg_answer, route_ns),
};

static const struct pack_field load_fields[] = {
	PACK_STR_OF(struct msg_load, node),
	PACK_U64_OF(struct msg_load, sent_ns),
	PACK_NUMBER_OF(struct msg_load, revision),
	PACK_BOOL_OF(struct msg_load, leaving),
	PACK_BOOL_OF(struct msg_load, watches),
	PACK_BOOL_OF(struct msg_load, wants_report),
	PACK_GATE_LOAD(struct msg_load),
	PACK_ERA_OF(struct msg_load, revision),
	PACK_U64_OF(struct msg_load, manifest_version),
	PACK_NUMBER_OF(struct msg_load, manifest_revision),
	PACK_ERA_OF(struct msg_load, manifest_revision),
	PACK_U32_OF(struct msg_load, load.transit_ms),
	PACK_U32_OF(struct msg_load, load.work_percent),
};

static const struct pack_field renew_fields[] = {
	PACK_U64_OF(struct msg_renew, lease),
	PACK_U64_OF(struct msg_renew, sent_ns),
	PACK_STR_OF(struct msg_renew, reply_to),
	PACK_U64_OF(struct msg_renew, era),
};

static const struct pack_field renewed_fields[] = {
	PACK_U64_OF(struct msg_renewed, lease),
	PACK_U64_OF(struct msg_renewed, sent_ns),
	PACK_BOOL_OF(struct msg_renewed, ended),
	PACK_U64_OF(struct msg_renewed, era),
};

static const struct pack_field changes_fields[] = {
	PACK_NUMBER_OF(struct msg_changes, from),
	PACK_NUMBER_OF(struct msg_changes, to),
	PACK_ERA_OF(struct msg_changes, from),
	PACK_ERA_OF(struct msg_changes, to),
};

static const struct pack_field manifest_get_fields[] = {
	PACK_NUMBER_OF(struct msg_manifest_get, revision),
	PACK_STR_OF(struct msg_manifest_get, reply_to),
	PACK_ERA_OF(struct msg_manifest_get, revision),
};

static const struct pack_field cancel_fields[] = {
	PACK_U64_OF(struct msg_cancel, id.node),
	PACK_U64_OF(struct msg_cancel, id.counter),
	PACK_U32_OF(struct msg_cancel, attempt),
};

static const struct pack_field quota_ask_fields[] = {
	PACK_STR_OF(struct msg_quota_ask, account),
	PACK_STR_OF(struct msg_quota_ask, reply_to),
	PACK_U64_OF(struct msg_quota_ask, sent_ns),
	PACK_U64_OF(struct msg_quota_ask, requests),
};

static const struct pack_field quota_grant_fields[] = {
	PACK_STR_OF(struct msg_quota_grant, account),
	PACK_U64_OF(struct msg_quota_grant, sent_ns),
	PACK_U64_OF(struct msg_quota_grant, requests),
	PACK_U64_OF(struct msg_quota_grant, valid_ns),
	PACK_U64_OF(struct msg_quota_grant, retry_after_ns),
	PACK_BOOL_OF(struct msg_quota_grant, unknown),
};

static const struct pack_table message_tables[MSG_KIND_COUNT] = {
	[MSG_HEARTBEAT] = PACK_TABLE(heartbeat_fields),
	[MSG_HEARTBEAT_ACK] = PACK_TABLE(heartbeat_ack_fields),
	[MSG_ADOPT] = PACK_TABLE(adopt_fields),
	[MSG_SYNC] = PACK_TABLE(sync_fields),
	[MSG_RELEASE] = PACK_TABLE(release_fields),
	[MSG_HOT_KEYS] = PACK_TABLE(hot_keys_fields),
	[MSG_FORWARD] = PACK_TABLE_WITH_OPTIONAL(forward_fields, 2),
	[MSG_ANSWER] = PACK_TABLE_WITH_OPTIONAL(answer_fields, 4),
	[MSG_CANCEL] = PACK_TABLE(cancel_fields),
	[MSG_LOAD] = PACK_TABLE_WITH_OPTIONAL(load_fields, 6),
	[MSG_RENEW] = PACK_TABLE_WITH_OPTIONAL(renew_fields, 1),
	[MSG_RENEWED] = PACK_TABLE_WITH_OPTIONAL(renewed_fields, 1),
	[MSG_CHANGES] = PACK_TABLE_WITH_OPTIONAL(changes_fields, 2),
	[MSG_MANIFEST_GET] = PACK_TABLE(manifest_get_fields),
	[MSG_QUOTA_ASK] = PACK_TABLE(quota_ask_fields),
	[MSG_QUOTA_GRANT] = PACK_TABLE(quota_grant_fields),
};

static void pack_payload(msgpack_packer *pk, const struct payload *p)
{
	const struct header *h;
	size_t n = 0;

	list_for_each_entry(h, &p->headers, link)
		n += 2;
	msgpack_pack_array(pk, 2);
	msgpack_pack_array(pk, n);
	list_for_each_entry(h, &p->headers, link) {
		pack_str(pk, h->name);
		pack_str(pk, h->value);
	}
	pack_bin(pk, p->body, p->body_len);
}

static bool unpack_payload(const msgpack_object *o, struct payload *p)
{
	const msgpack_object *headers = unpack_at(o, 0);
	const msgpack_object *body = unpack_at(o, 1);

	if (!headers || headers->type != MSGPACK_OBJECT_ARRAY || !body ||
	    body->type != MSGPACK_OBJECT_BIN)
		return false;
	for (size_t i = 0; i + 1 < headers->via.array.size; i += 2) {
		char *name = unpack_str(unpack_at(headers, i));
		char *value = unpack_str(unpack_at(headers, i + 1));

		if (name && value)
			payload_add_header(p, name, value);
		free(name);
		free(value);
		if (!name || !value)
			return false;
	}
	payload_set_body(p, body->via.bin.ptr, body->via.bin.size);
	return true;
}

static void pack_request(msgpack_packer *pk, const struct http_request *r)
{
	msgpack_pack_array(pk, 3);
	pack_str(pk, r->method);
	pack_str(pk, r->target);
	pack_payload(pk, &r->payload);
}

static struct http_request *unpack_request(const msgpack_object *o)
{
	char *method = unpack_str(unpack_at(o, 0));
	char *target = unpack_str(unpack_at(o, 1));
	struct http_request *r = NULL;

	if (method && target) {
		r = http_request_new(method, target);
		if (!unpack_payload(unpack_at(o, 2), &r->payload)) {
			http_request_unref(r);
			r = NULL;
		}
	}
	free(method);
	free(target);
	return r;
}

static void pack_answer(msgpack_packer *pk, const struct http_answer *a)
{
	if (!a) {
		msgpack_pack_nil(pk);
		return;
	}
	msgpack_pack_array(pk, 2);
	msgpack_pack_int(pk, a->code);
	pack_payload(pk, &a->payload);
}

static bool unpack_answer(const msgpack_object *o, struct http_answer **a)
{
	uint64_t code;

	if (o && o->type == MSGPACK_OBJECT_NIL)
		return true;
	if (!unpack_u64(unpack_at(o, 0), &code) || code > 999)
		return false;
	*a = http_answer_new((int)code);
	return unpack_payload(unpack_at(o, 1), &(*a)->payload);
}

static void pack_docs(msgpack_packer *pk, const struct list *docs)
{
	const struct doc *d;
	size_t n = 0;

	list_for_each_entry(d, docs, link)
		n++;
	msgpack_pack_array(pk, n);
	list_for_each_entry(d, docs, link)
		pack_doc_with_key(pk, d);
}

static bool unpack_docs(const msgpack_object *o, struct list *docs)
{
	const msgpack_object *it;

	if (!o || o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (size_t i = 0; (it = unpack_at(o, i)); i++) {
		struct doc *d = unpack_doc_with_key(it);

		if (!d)
			return false;
		list_push_back(docs, &d->link);
	}
	return true;
}

static void pack_sync(msgpack_packer *pk, const struct msg_sync *s)
{
	msgpack_pack_array(pk, 2);
	pack_docs(pk, &s->docs);
	pack_deltas(pk, &s->deltas);
}

static bool unpack_sync(const msgpack_object *o, struct msg_sync *s)
{
	return unpack_docs(unpack_at(o, 0), &s->docs) &&
	       unpack_deltas(unpack_at(o, 1), &s->deltas);
}

static void pack_released_shards(msgpack_packer *pk,
				 const struct msg_release *r)
{
	msgpack_pack_array(pk, (size_t)r->count * 2);
	for (uint32_t i = 0; i < r->count; i++) {
		msgpack_pack_uint32(pk, r->shards[i]);
		msgpack_pack_uint64(pk, r->epochs[i]);
	}
}

static bool unpack_released_shards(const msgpack_object *o,
				   struct msg_release *r)
{
	if (!o || o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size != (uint64_t)r->count * 2)
		return false;
	r->shards = mem_zalloc(r->count, sizeof(*r->shards));
	r->epochs = mem_zalloc(r->count, sizeof(*r->epochs));
	for (uint32_t i = 0; i < r->count; i++) {
		uint64_t shard;

		if (!unpack_u64(unpack_at(o, (size_t)i * 2), &shard) ||
		    shard > UINT32_MAX ||
		    !unpack_u64(unpack_at(o, (size_t)i * 2 + 1), &r->epochs[i]))
			return false;
		r->shards[i] = (uint32_t)shard;
	}
	return true;
}

static void pack_hot_keys(msgpack_packer *pk, const struct msg_hot_keys *h)
{
	msgpack_pack_array(pk, h->count);
	for (uint32_t i = 0; i < h->count; i++)
		pack_struct(pk, &h->items[i], &hot_report_table);
}

static bool unpack_hot_keys(const msgpack_object *o, struct msg_hot_keys *h)
{
	if (h->count > HOT_KEYS_REPORT_MAX)
		return false;
	for (uint32_t i = 0; i < h->count; i++)
		if (!unpack_struct(unpack_at(o, i), &h->items[i],
				   &hot_report_table))
			return false;
	return true;
}

/* Packs lists, requests and answers; nil for kinds that have none. */
static void pack_variable_part(msgpack_packer *pk, const struct message *m)
{
	switch (m->kind) {
	case MSG_SYNC:
		pack_sync(pk, &m->u.sync);
		break;
	case MSG_RELEASE:
		pack_released_shards(pk, &m->u.release);
		break;
	case MSG_HOT_KEYS:
		pack_hot_keys(pk, &m->u.hot_keys);
		break;
	case MSG_FORWARD:
		pack_request(pk, m->u.forward.request);
		break;
	case MSG_ANSWER:
		pack_answer(pk, m->u.answer.answer);
		break;
	case MSG_CHANGES:
		mesh_pack_records(pk, &m->u.changes.records);
		break;
	case MSG_HEARTBEAT:
	case MSG_HEARTBEAT_ACK:
	case MSG_ADOPT:
	case MSG_CANCEL:
	case MSG_LOAD:
	case MSG_RENEW:
	case MSG_RENEWED:
	case MSG_MANIFEST_GET:
	case MSG_QUOTA_ASK:
	case MSG_QUOTA_GRANT:
	case MSG_KIND_COUNT:
		msgpack_pack_nil(pk);
		break;
	}
}

static bool unpack_variable_part(const msgpack_object *o, struct message *m)
{
	switch (m->kind) {
	case MSG_SYNC:
		return unpack_sync(o, &m->u.sync);
	case MSG_RELEASE:
		return unpack_released_shards(o, &m->u.release);
	case MSG_HOT_KEYS:
		return unpack_hot_keys(o, &m->u.hot_keys);
	case MSG_FORWARD:
		m->u.forward.request = unpack_request(o);
		return m->u.forward.request != NULL;
	case MSG_ANSWER:
		return unpack_answer(o, &m->u.answer.answer);
	case MSG_CHANGES:
		return mesh_unpack_records(o, &m->u.changes.records);
	case MSG_HEARTBEAT:
	case MSG_HEARTBEAT_ACK:
	case MSG_ADOPT:
	case MSG_CANCEL:
	case MSG_LOAD:
	case MSG_RENEW:
	case MSG_RENEWED:
	case MSG_MANIFEST_GET:
	case MSG_QUOTA_ASK:
	case MSG_QUOTA_GRANT:
	case MSG_KIND_COUNT:
		break;
	}
	return true;
}

static void release_buffer(msgpack_sbuffer *sb, struct wire_buf *out)
{
	out->len = sb->size;
	out->data = (unsigned char *)msgpack_sbuffer_release(sb);
}

void wire_encode_message(const struct message *m, struct wire_buf *out)
{
	msgpack_sbuffer sb;
	msgpack_packer pk;

	msgpack_sbuffer_init(&sb);
	msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 3);
	pack_struct(&pk, m, &envelope_table);
	pack_struct(&pk, &m->u, &message_tables[m->kind]);
	pack_variable_part(&pk, m);
	release_buffer(&sb, out);
}

static struct message *unpack_message(const msgpack_object *o)
{
	struct message envelope = {0};
	struct message *m;

	if (!unpack_struct(unpack_at(o, 0), &envelope, &envelope_table))
		return NULL;
	m = message_new(envelope.kind);
	m->from = envelope.from;
	m->to = envelope.to;
	if (unpack_struct(unpack_at(o, 1), &m->u, &message_tables[m->kind]) &&
	    unpack_variable_part(unpack_at(o, 2), m))
		return m;
	message_delete(m);
	return NULL;
}

struct message *wire_decode_message(const void *data, size_t len,
				    struct status *st)
{
	struct message *m = NULL;
	msgpack_unpacked u;

	if (len > WIRE_MAX_BYTES) {
		status_set(st, STATUS_TOO_LARGE,
			   "message of %zu bytes is too large", len);
		return NULL;
	}
	msgpack_unpacked_init(&u);
	if (unpack_bytes(&u, data, len))
		m = unpack_message(&u.data);
	msgpack_unpacked_destroy(&u);
	if (!m)
		status_set(st, STATUS_INVALID,
			   "%zu bytes are not a valid message", len);
	return m;
}

void wire_encode_doc(const struct doc *d, struct wire_buf *out)
{
	msgpack_sbuffer sb;
	msgpack_packer pk;

	msgpack_sbuffer_init(&sb);
	msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
	pack_doc(&pk, d);
	release_buffer(&sb, out);
}

struct doc *wire_decode_doc(const struct doc_key *key, const void *data,
			    size_t len, struct status *st)
{
	struct doc *d = doc_new(key->kind, key->name);
	msgpack_unpacked u;
	bool ok;

	msgpack_unpacked_init(&u);
	ok = len <= WIRE_MAX_BYTES && unpack_bytes(&u, data, len) &&
	     unpack_doc(&u.data, d);
	msgpack_unpacked_destroy(&u);
	if (ok)
		return d;
	status_set(st, STATUS_INVALID, "document %d/%s: %zu bytes are invalid",
		   key->kind, key->name, len);
	doc_delete(d);
	return NULL;
}
