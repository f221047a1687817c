#include "jd_test.hpp"

#include <rapidcheck/gtest.h>

extern "C" {
#include "core/mem.h"
#include "wire/codec.h"
#include "wire/pack.h"
}

static struct message *round_trip(const struct message *m)
{
	struct wire_buf b;
	struct status st;

	wire_encode_message(m, &b);
	struct message *decoded = wire_decode_message(b.data, b.len, &st);
	free(b.data);
	return decoded;
}

TEST(Codec, ForwardSurvivesRoundTrip)
{
	const std::string service(300, 's');
	struct message *m = message_new(MSG_FORWARD);
	struct msg_forward *f = &m->u.forward;

	m->from = 1;
	m->to = UINT64_MAX;
	f->id = {9, 8};
	f->attempt = 2;
	f->time_left_ns = 77;
	f->idempotent = true;
	mem_copy_str(f->key, "order-1", sizeof(f->key));
	f->caller_id = mem_dup_str((service + "i").c_str());
	f->caller_service = mem_dup_str(service.c_str());
	f->organisation = mem_dup_str((service + "o").c_str());
	f->request = http_request_new("POST", "/a?b=c");
	payload_add_header(&f->request->payload, "X-A", "1");
	payload_set_body(&f->request->payload, "a\0b", 3);
	struct message *decoded = round_trip(m);
	ASSERT_NE(decoded, nullptr);
	EXPECT_EQ(decoded->to, UINT64_MAX);
	EXPECT_EQ(decoded->u.forward.caller_id, service + "i");
	EXPECT_EQ(decoded->u.forward.caller_service, service);
	EXPECT_EQ(decoded->u.forward.organisation, service + "o");
	EXPECT_TRUE(request_id_equal(decoded->u.forward.id, f->id));
	EXPECT_STREQ(decoded->u.forward.request->target, "/a?b=c");
	EXPECT_EQ(decoded->u.forward.request->payload.body_len, 3u);
	EXPECT_STREQ(payload_header(&decoded->u.forward.request->payload,
				    "x-a"),
		     "1");
	message_delete(decoded);
	message_delete(m);
}

TEST(Codec, MapRoundTripKeepsOwnersTargetsAndPinnedKeys)
{
	struct doc *d = doc_new(DOC_MAP, "r");
	struct wire_buf b;
	struct status st;

	d->u.map = shard_map_new("r", 64);
	for (uint32_t i = 0; i < 64; i++)
		d->u.map->shards[i] = {1000 + i % 5, i % 7 ? 0 : 3u, i * 100};
	struct pinned_key *p = mem_new(struct pinned_key);
	mem_copy_str(p->key, "hot", sizeof(p->key));
	p->shard = {1001, 0, 4};
	list_push_back(&d->u.map->pinned, &p->link);
	wire_encode_doc(d, &b);
	struct doc *decoded = wire_decode_doc(&d->key, b.data, b.len, &st);
	ASSERT_NE(decoded, nullptr) << st.msg;
	EXPECT_EQ(memcmp(decoded->u.map->shards, d->u.map->shards,
			 64 * sizeof(struct shard)),
		  0);
	EXPECT_EQ(shard_map_find(decoded->u.map, "hot")->owner, 1001u);
	free(b.data);
	doc_delete(decoded);
	doc_delete(d);
}

TEST(Codec, HotKeysSurviveRoundTripAndExcessCountIsRejected)
{
	struct message *m = message_new(MSG_HOT_KEYS);

	m->u.hot_keys.count = HOT_KEYS_REPORT_MAX;
	for (uint32_t i = 0; i < HOT_KEYS_REPORT_MAX; i++)
		m->u.hot_keys.items[i] = {"r", i, 100 * i};
	struct message *decoded = round_trip(m);
	ASSERT_NE(decoded, nullptr);
	EXPECT_EQ(decoded->u.hot_keys.count, (uint32_t)HOT_KEYS_REPORT_MAX);
	EXPECT_EQ(decoded->u.hot_keys.items[7].shard, 7u);
	EXPECT_EQ(decoded->u.hot_keys.items[7].rate, 700u);
	EXPECT_STREQ(decoded->u.hot_keys.items[7].route, "r");
	message_delete(decoded);
	m->u.hot_keys.count = 0;
	struct wire_buf b;
	struct status st;
	wire_encode_message(m, &b);
	/* The count is the last number before the empty array. */
	b.data[b.len - 2] = HOT_KEYS_REPORT_MAX + 1;
	EXPECT_EQ(wire_decode_message(b.data, b.len, &st), nullptr);
	free(b.data);
	message_delete(m);
}

RC_GTEST_PROP(Codec, ArbitraryBytesAreRejectedOrDecoded,
	      (const std::string &bytes))
{
	struct status st;
	struct message *m =
		wire_decode_message(bytes.data(), bytes.size(), &st);

	message_delete(m);
}

RC_GTEST_PROP(Codec, CorruptMessageDoesNotCrashDecoder, ())
{
	struct message *m = message_new(MSG_SYNC);
	struct doc *d = doc_new(DOC_ROSTER, "dc");
	struct wire_buf b;
	struct status st;

	d->u.roster = roster_new("dc", "region");
	roster_add(d->u.roster, "n1", 5)->term = 3;
	list_push_back(&m->u.sync.docs, &d->link);
	wire_encode_message(m, &b);
	size_t at = *rc::gen::inRange<size_t>(0, b.len);
	b.data[at] = *rc::gen::arbitrary<unsigned char>();
	size_t len = *rc::gen::inRange<size_t>(0, b.len + 1);
	message_delete(wire_decode_message(b.data, len, &st));
	free(b.data);
	message_delete(m);
}

/* The fields of the build before revisions had an era, in its order. */
static const struct pack_field old_envelope[] = {
	PACK_ENUM_OF(struct message, kind, MSG_KIND_COUNT),
	PACK_U64_OF(struct message, from),
	PACK_U64_OF(struct message, to),
};
#define OLD_GATE_LOAD(type)                                                    \
	PACK_U32_OF(type, load.running), PACK_U32_OF(type, load.waiting),      \
		PACK_U32_OF(type, load.limit),                                 \
		PACK_U64_OF(type, load.service_ns),                            \
		PACK_BOOL_OF(type, load.open), PACK_BOOL_OF(type, load.cold)
static const struct pack_field old_answer[] = {
	PACK_U64_OF(struct msg_answer, id.node),
	PACK_U64_OF(struct msg_answer, id.counter),
	PACK_U32_OF(struct msg_answer, attempt),
	PACK_ENUM_OF(struct msg_answer, outcome, OUTCOME_COUNT),
	PACK_U64_OF(struct msg_answer, revision),
	PACK_ENUM_OF(struct msg_answer, refusal, REFUSAL_COUNT),
	PACK_U64_OF(struct msg_answer, retry_after_ns),
	OLD_GATE_LOAD(struct msg_answer),
	PACK_BOOL_OF(struct msg_answer, internal_route),
};
static const struct pack_field old_load[] = {
	PACK_STR_OF(struct msg_load, node),
	PACK_U64_OF(struct msg_load, sent_ns),
	PACK_U64_OF(struct msg_load, revision),
	PACK_BOOL_OF(struct msg_load, leaving),
	PACK_BOOL_OF(struct msg_load, watches),
	PACK_BOOL_OF(struct msg_load, wants_report),
	OLD_GATE_LOAD(struct msg_load),
};
static const struct pack_field old_renew[] = {
	PACK_U64_OF(struct msg_renew, lease),
	PACK_U64_OF(struct msg_renew, sent_ns),
	PACK_STR_OF(struct msg_renew, reply_to),
};
static const struct pack_field old_renewed[] = {
	PACK_U64_OF(struct msg_renewed, lease),
	PACK_U64_OF(struct msg_renewed, sent_ns),
	PACK_BOOL_OF(struct msg_renewed, ended),
};
static const struct pack_field old_changes[] = {
	PACK_U64_OF(struct msg_changes, from),
	PACK_U64_OF(struct msg_changes, to),
};
static const struct pack_table old_envelope_table = PACK_TABLE(old_envelope);
static const std::pair<enum message_kind, struct pack_table> old_tables[] = {
	{MSG_ANSWER, PACK_TABLE(old_answer)},
	{MSG_LOAD, PACK_TABLE(old_load)},
	{MSG_RENEW, PACK_TABLE(old_renew)},
	{MSG_RENEWED, PACK_TABLE(old_renewed)},
	{MSG_CHANGES, PACK_TABLE(old_changes)},
};

/* A message of @kind with all fields that the era concerns. */
static struct message *message_of_era(enum message_kind kind)
{
	struct message *m = message_new(kind);

	m->from = 7;
	switch (kind) {
	case MSG_ANSWER:
		m->u.answer.revision = revision_make(3, 12);
		m->u.answer.outcome = OUTCOME_NOT_RUN;
		m->u.answer.internal_route = true;
		break;
	case MSG_LOAD:
		m->u.load.revision = revision_make(3, 12);
		m->u.load.load.cold = true;
		m->u.load.manifest_version = 14;
		m->u.load.manifest_revision = revision_make(3, 11);
		break;
	case MSG_RENEW:
		m->u.renew.lease = 5;
		m->u.renew.era = 3;
		break;
	case MSG_RENEWED:
		m->u.renewed.lease = 5;
		m->u.renewed.ended = true;
		m->u.renewed.era = 3;
		break;
	case MSG_CHANGES:
		m->u.changes.from = revision_make(2, 12);
		m->u.changes.to = revision_make(3, 13);
		break;
	default:
		break;
	}
	return m;
}

TEST(Codec, TheEraSurvivesTheRoundTrip)
{
	for (auto &it : old_tables) {
		struct message *m = message_of_era(it.first);
		struct message *d = round_trip(m);

		ASSERT_NE(d, nullptr) << message_name(it.first);
		switch (it.first) {
		case MSG_ANSWER:
			EXPECT_EQ(d->u.answer.revision, revision_make(3, 12));
			break;
		case MSG_LOAD:
			EXPECT_EQ(d->u.load.revision, revision_make(3, 12));
			EXPECT_EQ(d->u.load.manifest_version, 14u);
			EXPECT_EQ(d->u.load.manifest_revision,
				  revision_make(3, 11));
			break;
		case MSG_RENEW:
			EXPECT_EQ(d->u.renew.era, 3u);
			break;
		case MSG_RENEWED:
			EXPECT_EQ(d->u.renewed.era, 3u);
			break;
		default:
			EXPECT_EQ(d->u.changes.from, revision_make(2, 12));
			EXPECT_EQ(d->u.changes.to, revision_make(3, 13));
			break;
		}
		message_delete(d);
		message_delete(m);
	}
}

/* Sets the revisions in @m to their bare numbers and clears later fields. */
static void forget_era(struct message *m)
{
	switch (m->kind) {
	case MSG_ANSWER:
		m->u.answer.revision = 12;
		break;
	case MSG_LOAD:
		m->u.load.revision = 12;
		m->u.load.manifest_version = 0;
		m->u.load.manifest_revision = 0;
		break;
	case MSG_RENEW:
		m->u.renew.era = 0;
		break;
	case MSG_RENEWED:
		m->u.renewed.era = 0;
		break;
	default:
		m->u.changes.from = 12;
		m->u.changes.to = 13;
		break;
	}
}

static std::string packed(const struct message *m)
{
	struct wire_buf b;

	wire_encode_message(m, &b);
	std::string bytes((char *)b.data, b.len);
	free(b.data);
	return bytes;
}

/* The bytes that the build before sends for @m. */
static std::string packed_by_old_build(const struct message *m,
				       const struct pack_table *table)
{
	msgpack_sbuffer sb;
	msgpack_packer pk;

	msgpack_sbuffer_init(&sb);
	msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 3);
	pack_struct(&pk, m, &old_envelope_table);
	pack_struct(&pk, &m->u, table);
	if (m->kind == MSG_CHANGES)
		msgpack_pack_array(&pk, 0);
	else
		msgpack_pack_nil(&pk);
	std::string bytes(sb.data, sb.size);
	msgpack_sbuffer_destroy(&sb);
	return bytes;
}

TEST(Codec, MessagesOfABuildWithoutErasAreOfEraZero)
{
	for (auto &it : old_tables) {
		struct message *m = message_of_era(it.first);
		struct status st;
		struct message *d;
		std::string bytes;

		forget_era(m);
		bytes = packed_by_old_build(m, &it.second);
		d = wire_decode_message(bytes.data(), bytes.size(), &st);
		ASSERT_NE(d, nullptr) << message_name(it.first);
		EXPECT_EQ(packed(d), packed(m)) << message_name(it.first);
		message_delete(d);
		message_delete(m);
	}
}

/* A build without eras must go on comparing revisions as it did. */
TEST(Codec, ABuildWithoutErasReadsBareRevisions)
{
	for (auto &it : old_tables) {
		struct message *m = message_of_era(it.first);
		struct message *d = message_new(it.first);
		std::string bytes = packed(m);
		msgpack_unpacked u;
		size_t off = 0;

		msgpack_unpacked_init(&u);
		ASSERT_EQ(msgpack_unpack_next(&u, bytes.data(), bytes.size(),
					      &off),
			  MSGPACK_UNPACK_SUCCESS);
		EXPECT_TRUE(unpack_struct(unpack_at(&u.data, 0), d,
					  &old_envelope_table));
		EXPECT_TRUE(
			unpack_struct(unpack_at(&u.data, 1), &d->u, &it.second))
			<< message_name(it.first);
		msgpack_unpacked_destroy(&u);
		forget_era(m);
		EXPECT_EQ(packed(d), packed(m)) << message_name(it.first);
		message_delete(d);
		message_delete(m);
	}
}

/* A revision or era that does not fit makes the message invalid. */
TEST(Codec, RevisionsOutOfRangeAreRejected)
{
	static const struct pack_field fields[] = {
		PACK_U64_OF(struct msg_changes, from),
		PACK_U64_OF(struct msg_changes, to),
		PACK_U64_OF(struct msg_changes, from),
		PACK_U64_OF(struct msg_changes, to),
	};
	static const struct pack_table table = PACK_TABLE(fields);

	for (uint64_t v : {UINT64_C(65536), REVISION_NUMBER_MAX + 1}) {
		struct message *m = message_new(MSG_CHANGES);
		struct status st;

		m->u.changes.to = v;
		std::string bytes = packed_by_old_build(m, &table);
		EXPECT_EQ(wire_decode_message(bytes.data(), bytes.size(), &st),
			  nullptr);
		message_delete(m);
	}
}
