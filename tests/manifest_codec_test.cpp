#include "jd_test.hpp"

extern "C" {
#include "core/mem.h"
#include "core/message.h"
#include "core/organisations/api_keys.h"
#include "wire/codec.h"
#include "wire/mesh_codec.h"
}

static struct manifest *new_manifest(uint64_t version)
{
	struct manifest *m = manifest_new();
	struct service *s = manifest_add_service(m);
	struct route *r = manifest_add_route(m);

	m->version = version;
	mem_copy_str(s->name, "archive", sizeof(s->name));
	s->keyed = true;
	s->cold_per_s = 14.5;
	mem_copy_str(r->name, "r-1", sizeof(r->name));
	mem_copy_str(r->service, "archive", sizeof(r->service));
	return m;
}

/* A MSG_CHANGES with the delta between two manifests, and its encoding. */
struct ManifestCodecTest : public ::testing::Test {
	struct manifest *a = new_manifest(1);
	struct manifest *b = new_manifest(2);
	struct message *m = message_new(MSG_CHANGES);
	struct wire_buf buf = {};

	const std::string long_name = std::string(300, 'o');

	ManifestCodecTest()
	{
		struct route *r = manifest_add_route(b);
		struct record *rec = record_new(RECORD_MANIFEST, "");

		mem_copy_str(r->name, "r-2", sizeof(r->name));
		route_set_host(r, (std::string(200, 'h') + ".example").c_str());
		route_set_path(r,
			       ("/x/" + std::string(300, 'y') + "/").c_str());
		for (uint32_t weight = 89; weight < 100; weight++) {
			struct split *sp = route_add_split(r);

			mem_copy_str(sp->service, "archive", JD_NAME_MAX);
			sp->weight = weight;
		}
		r->home_regions.count = 1;
		mem_copy_str(r->home_regions.names[0], "south", JD_NAME_MAX);
		r->priority = 2;
		r->max_attempts = 3;
		r->timeout_ms = 1100;
		r->objective_ms = 700;
		r->invalid = true;
		r->idempotent = UINT32_MAX;
		r->open = true;
		b->api_keys_required = true;
		struct organisation *o = manifest_add_organisation(b);

		mem_copy_str(o->name, "museum", sizeof(o->name));
		o->has_priority = true;
		o->priority = 7;
		o->rate_per_s = 2.5;
		o->burst = 8;
		o->home_regions.count = 1;
		mem_copy_str(o->home_regions.names[0], "south", JD_NAME_MAX);
		organisation_add_key(o, "first");
		organisation_add_key(o, "second");
		organisation_add_key(o, long_name.c_str());
		organisation_set_name(manifest_add_organisation(b),
				      long_name.c_str());
		b->limits.header_bytes = 16384;
		b->limits.body_bytes = 1000;
		b->limits.header_timeout_ms = 3000;
		b->limits.idle_timeout_ms = 15000;
		rec->revision = revision_make(3, 20);
		rec->delta = manifest_delta_between(a, revision_make(3, 10), b,
						    rec->revision);
		list_push_back(&m->u.changes.records, &rec->link);
		wire_encode_message(m, &buf);
	}
	~ManifestCodecTest() override
	{
		free(buf.data);
		message_delete(m);
		manifest_delete(a);
		manifest_delete(b);
	}
};

TEST_F(ManifestCodecTest, DeltaSurvivesRoundTrip)
{
	struct status st;
	struct message *got = wire_decode_message(buf.data, buf.len, &st);
	struct manifest *out;
	struct record *r;

	ASSERT_NE(got, nullptr);
	r = list_entry(got->u.changes.records.next, struct record, link);
	ASSERT_NE(r->delta, nullptr);
	EXPECT_EQ(r->delta->base, revision_make(3, 10));
	EXPECT_EQ(r->delta->revision, revision_make(3, 20));
	out = manifest_delta_apply(r->delta, a);
	ASSERT_NE(out, nullptr);
	EXPECT_EQ(manifest_digest(out), manifest_digest(b));
	EXPECT_DOUBLE_EQ(manifest_service(out, "archive")->cold_per_s, 14.5);
	ASSERT_EQ(manifest_route(out, "r-2")->split_count, 11u);
	EXPECT_EQ(manifest_route(out, "r-2")->splits[1].weight, 90u);
	EXPECT_EQ(manifest_route(out, "r-2")->splits[10].weight, 99u);
	EXPECT_TRUE(manifest_route(out, "r-2")->open);
	EXPECT_TRUE(out->api_keys_required);
	const struct organisation *o = manifest_organisation(out, "museum");

	ASSERT_NE(o, nullptr);
	EXPECT_TRUE(o->has_priority);
	EXPECT_EQ(o->priority, 7u);
	EXPECT_DOUBLE_EQ(o->rate_per_s, 2.5);
	EXPECT_DOUBLE_EQ(o->burst, 8);
	EXPECT_STREQ(o->home_regions.names[0], "south");
	EXPECT_EQ(api_keys_find(out, long_name.c_str()), o);
	o = list_entry(out->organisations.prev, struct organisation, link);
	EXPECT_EQ(organisation_full_name(o), long_name);
	manifest_delete(out);
	message_delete(got);
}

/* The changes of @records as a build without API keys sends them. */
static struct message *without_organisations(const struct message *m)
{
	struct record *r =
		list_entry(m->u.changes.records.next, struct record, link);
	struct message *got;
	struct wire_buf b = {};
	struct status st;

	r->delta->organisations.known = false;
	wire_encode_message(m, &b);
	got = wire_decode_message(b.data, b.len, &st);
	free(b.data);
	return got;
}

TEST_F(ManifestCodecTest, DeltaWithoutOrganisationsIsReadAndNotApplied)
{
	struct message *got = without_organisations(m);
	struct record *r;

	ASSERT_NE(got, nullptr);
	r = list_entry(got->u.changes.records.next, struct record, link);
	ASSERT_NE(r->delta, nullptr) << "it still says what is newer";
	EXPECT_EQ(r->delta->version, 2u);
	EXPECT_EQ(manifest_delta_apply(r->delta, a), nullptr);
	message_delete(got);
}

/* Guards against the loss of all changes for a delta of a later build. */
TEST_F(ManifestCodecTest, UnknownDeltaLeavesTheNewsOfTheManifest)
{
	struct list records;
	msgpack_sbuffer sb;
	msgpack_packer pk;
	msgpack_unpacked u;
	size_t off = 0;
	size_t pos;
	struct record *r;

	list_init(&records);
	msgpack_sbuffer_init(&sb);
	msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
	mesh_pack_records(&pk, &m->u.changes.records);
	/* The number of the delta's base, 10, becomes nil. */
	pos = std::string(sb.data, sb.size).find("\x95\x9a\x0a");
	ASSERT_NE(pos, std::string::npos);
	sb.data[pos + 2] = (char)0xc0;
	msgpack_unpacked_init(&u);
	ASSERT_EQ(msgpack_unpack_next(&u, sb.data, sb.size, &off),
		  MSGPACK_UNPACK_SUCCESS);
	ASSERT_TRUE(mesh_unpack_records(&u.data, &records));
	r = list_entry(records.next, struct record, link);
	EXPECT_EQ(r->delta, nullptr);
	EXPECT_EQ(r->revision, revision_make(3, 20));
	records_delete(&records);
	msgpack_unpacked_destroy(&u);
	msgpack_sbuffer_destroy(&sb);
}

TEST_F(ManifestCodecTest, TruncatedInputIsRejected)
{
	struct status st;

	for (size_t len = 0; len < buf.len; len++)
		EXPECT_EQ(wire_decode_message(buf.data, len, &st), nullptr);
}

static struct message *round_trip(const struct message *m)
{
	struct wire_buf b;
	struct status st;
	struct message *got;

	wire_encode_message(m, &b);
	got = wire_decode_message(b.data, b.len, &st);
	free(b.data);
	return got;
}

TEST(ManifestMessages, ReportsAndRequestsNameTheManifest)
{
	struct message *load = message_new(MSG_LOAD);
	struct message *get = message_new(MSG_MANIFEST_GET);
	struct message *got;

	load->u.load.manifest_revision = revision_make(2, 77);
	got = round_trip(load);
	ASSERT_NE(got, nullptr);
	EXPECT_EQ(got->u.load.manifest_revision, revision_make(2, 77));
	message_delete(got);
	get->u.manifest_get.revision = 31;
	mem_copy_str(get->u.manifest_get.reply_to, "a:1", JD_ADDR_MAX);
	got = round_trip(get);
	ASSERT_NE(got, nullptr);
	EXPECT_EQ(got->u.manifest_get.revision, 31u);
	EXPECT_STREQ(got->u.manifest_get.reply_to, "a:1");
	message_delete(got);
	message_delete(get);
	message_delete(load);
}
