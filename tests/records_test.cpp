#include "jd_test.hpp"

#include <rapidcheck/gtest.h>
#include <string>

extern "C" {
#include "core/mem.h"
#include "core/name.h"
#include "core/organisations/api_keys.h"
#include "io/base64.h"
#include "platform/records.h"
}

static const char config[] =
	"{\"version\":\"0000000c\",\"routes\":["
	"{\"name\":\"r1\",\"host\":\"a.example\",\"pathPrefix\":\"/x/\","
	"\"type\":\"idempotent\",\"timeoutS\":1.5,\"targetLatencyS\":0.6,"
	"\"priority\":2,\"trafficSplit\":[{\"service\":\"s1\",\"weight\":90},"
	"{\"service\":\"s2\",\"weight\":10}],\"maxAttempts\":2,"
	"\"allowedRegions\":[]},"
	"{\"name\":\"r2\",\"host\":\"a.example\",\"pathPrefix\":\"/x/y/\","
	"\"type\":\"non_idempotent\",\"timeoutS\":1,\"targetLatencyS\":0.8,"
	"\"priority\":1,\"service\":\"s1\",\"maxAttempts\":2,"
	"\"allowedRegions\":[\"north\"]}],"
	"\"services\":[{\"name\":\"s1\",\"warmupPerS\":16.0},"
	"{\"name\":\"s2\",\"sharded\":true}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1000,"
	"\"headerTimeoutS\":3,\"idleTimeoutS\":15}}";

TEST(Records, ConfigurationIsDecodedIntoAManifest)
{
	struct manifest *m = config_decode(config, strlen(config));
	const struct route *r;

	ASSERT_NE(m, nullptr);
	EXPECT_EQ(m->version, 12u);
	EXPECT_EQ(m->limits.idle_timeout_ms, 15000u);
	r = manifest_match_host(m, "a.example", "/x/z");
	ASSERT_NE(r, nullptr);
	EXPECT_STREQ(r->name, "r1");
	EXPECT_EQ(r->split_count, 2u);
	EXPECT_EQ(r->splits[0].weight, 90u);
	EXPECT_EQ(r->timeout_ms, 1500u);
	EXPECT_NE(r->idempotent, 0u);
	r = manifest_match_host(m, "a.example", "/x/y/1");
	EXPECT_STREQ(r->name, "r2");
	EXPECT_EQ(r->idempotent, 0u);
	EXPECT_TRUE(region_set_allows(&r->home_regions, "north"));
	EXPECT_FALSE(region_set_allows(&r->home_regions, "south"));
	EXPECT_EQ(manifest_match_host(m, "b.example", "/x/z"), nullptr);
	EXPECT_EQ(manifest_match_host(m, "a.example", "/z"), nullptr);
	EXPECT_TRUE(manifest_service(m, "s2")->keyed);
	manifest_delete(m);
}

TEST(Records, MalformedConfigurationIsRefused)
{
	std::string truncated = config;

	truncated.resize(truncated.size() / 2);
	EXPECT_EQ(config_decode(truncated.data(), truncated.size()), nullptr);
	EXPECT_EQ(config_decode("{}", 2), nullptr);
	std::string no_version = config;

	no_version.replace(no_version.find("0000000c"), 8, "xyz");
	EXPECT_EQ(config_decode(no_version.data(), no_version.size()), nullptr);
}

static struct manifest *decode_with(const std::string &organisations)
{
	std::string text = config;

	text.insert(text.size() - 1, ",\"tenants\":" + organisations);
	return config_decode(text.data(), text.size());
}

TEST(Records, OrganisationsAreDecoded)
{
	struct manifest *m =
		decode_with("[{\"name\":\"museum\",\"apiKeys\":[\"k1\",\"k2\"],"
			    "\"priority\":0,\"ratePerS\":183.5,\"burst\":20,"
			    "\"allowedRegions\":[\"north\"]},"
			    "{\"name\":\"families\",\"apiKeys\":[]}]");
	const struct organisation *o;

	ASSERT_NE(m, nullptr);
	EXPECT_TRUE(m->api_keys_required);
	o = api_keys_find(m, "k2");
	ASSERT_NE(o, nullptr);
	EXPECT_STREQ(o->name, "museum");
	EXPECT_TRUE(o->has_priority);
	EXPECT_EQ(o->priority, 0u);
	EXPECT_DOUBLE_EQ(o->rate_per_s, 183.5);
	EXPECT_DOUBLE_EQ(o->burst, 20);
	EXPECT_FALSE(region_set_allows(&o->home_regions, "south"));
	o = manifest_organisation(m, "families");
	ASSERT_NE(o, nullptr);
	EXPECT_FALSE(o->has_priority);
	EXPECT_DOUBLE_EQ(o->rate_per_s, 0);
	manifest_delete(m);
}

/* One whose name had 32 bytes or more was left out; its keys were unknown. */
TEST(Records, AnOrganisationsNameMayHaveAnyLength)
{
	for (size_t len : {31, 32, 300}) {
		const std::string name(len, 'o');
		struct manifest *m =
			decode_with("[{\"name\":\"" + name +
				    "\",\"apiKeys\":[\"k1\"]},{\"name\":\"" +
				    name + "2\",\"apiKeys\":[\"k2\"]}]");
		const struct organisation *a, *b;

		ASSERT_NE(m, nullptr);
		a = api_keys_find(m, "k1");
		b = api_keys_find(m, "k2");
		ASSERT_TRUE(a && b) << len;
		EXPECT_EQ(organisation_full_name(a), name);
		EXPECT_EQ(organisation_full_name(b), name + "2");
		EXPECT_STRNE(a->name, b->name);
		manifest_delete(m);
	}
}

/* One whose name had a letter beyond ASCII was left out. */
TEST(Records, AnOrganisationsNameMayBeInAnyAlphabet)
{
	struct manifest *m = decode_with("[{\"name\":\"Til\xc3\xa8ne\","
					 "\"apiKeys\":[\"cl\xc3\xa9\"]}]");
	const struct organisation *o;

	ASSERT_NE(m, nullptr);
	o = api_keys_find(m, "cl\xc3\xa9");
	ASSERT_NE(o, nullptr);
	EXPECT_STREQ(o->name, "Til\xc3\xa8ne");
	manifest_delete(m);
}

TEST(Records, AConfigurationWithoutOrganisationsRequiresNoKeys)
{
	for (const char *none : {"null", "[]"}) {
		struct manifest *m = decode_with(none);

		ASSERT_NE(m, nullptr);
		EXPECT_FALSE(m->api_keys_required) << none;
		manifest_delete(m);
	}
}

/* Whatever can't be represented is unknown; it opens no route. */
TEST(Records, InvalidOrganisationsOpenNothing)
{
	for (const std::string &bad :
	     {std::string("{}"), std::string("\"x\""), std::string("[7]"),
	      std::string("[{\"apiKeys\":[\"k1\"]}]"),
	      std::string("[{\"name\":\"a\\r\\nb\",\"apiKeys\":[\"k1\"]}]"),
	      std::string("[{\"name\":\"a\",\"apiKeys\":\"k1\"}]"),
	      std::string("[{\"name\":\"a\",\"apiKeys\":[\"k1\"],"
			  "\"allowedRegions\":7}]"),
	      std::string("[{\"name\":\"a\",\"apiKeys\":"
			  "[\"\",3,\"k 1\",\"k\\u00011\"]}]")}) {
		struct manifest *m = decode_with(bad);

		ASSERT_NE(m, nullptr);
		EXPECT_TRUE(m->api_keys_required) << bad;
		EXPECT_EQ(api_keys_find(m, "k1"), nullptr) << bad;
		EXPECT_EQ(api_keys_find(m, ""), nullptr) << bad;
		EXPECT_EQ(api_keys_find(m, "k 1"), nullptr) << bad;
		EXPECT_EQ(api_keys_find(m, "k\x01"
					   "1"),
			  nullptr)
			<< bad;
		EXPECT_NE(manifest_route(m, "r1"), nullptr);
		manifest_delete(m);
	}
}

/* A key of 128 bytes or more was left out, and its callers were refused. */
TEST(Records, AKeyMayHaveAnyLengthAndMatchesWhole)
{
	for (size_t len : {127, 128, 2000}) {
		const std::string key(len, 'k');
		struct manifest *m =
			decode_with("[{\"name\":\"a\",\"apiKeys\":[\"" + key +
				    "1\"]},{\"name\":\"b\",\"apiKeys\":[\"" +
				    key + "2\"]}]");

		ASSERT_NE(m, nullptr);
		for (bool indexed : {false, true}) {
			const struct organisation *a, *b;

			if (indexed)
				manifest_build_index(m);
			a = api_keys_find(m, (key + "1").c_str());
			b = api_keys_find(m, (key + "2").c_str());
			ASSERT_TRUE(a && b) << len;
			EXPECT_STREQ(a->name, "a");
			EXPECT_STREQ(b->name, "b");
			EXPECT_EQ(api_keys_find(m, key.c_str()), nullptr);
		}
		manifest_delete(m);
	}
}

TEST(Records, AKeyOfTwoOrganisationsIsLoggedWithoutTheKey)
{
	testing::internal::CaptureStderr();
	struct manifest *m =
		decode_with("[{\"name\":\"a\",\"apiKeys\":[\"k1\",\"k2\"]},"
			    "{\"name\":\"b\",\"apiKeys\":[\"k1\",\"k 3\"]}]");
	std::string log = testing::internal::GetCapturedStderr();

	ASSERT_NE(m, nullptr);
	EXPECT_EQ(api_keys_find(m, "k1"), nullptr);
	EXPECT_NE(api_keys_find(m, "k2"), nullptr);
	EXPECT_NE(log.find("event=api_key_shared organisation=a"),
		  std::string::npos);
	EXPECT_NE(log.find("event=api_key_ignored organisation=b position=1"),
		  std::string::npos);
	EXPECT_EQ(log.find("k1"), std::string::npos) << log;
	EXPECT_EQ(log.find("k 3"), std::string::npos) << log;
	manifest_delete(m);
}

TEST(Records, OnlyAPublicRouteIsOpen)
{
	std::string text = config;
	struct manifest *m;

	text.replace(text.find("\"priority\":2"), 12,
		     "\"priority\":2,\"public\":true");
	m = config_decode(text.data(), text.size());
	ASSERT_NE(m, nullptr);
	EXPECT_TRUE(manifest_route(m, "r1")->open);
	EXPECT_FALSE(manifest_route(m, "r2")->open);
	manifest_delete(m);
}

RC_GTEST_PROP(Records, ArbitraryBytesNeverCrash, (const std::string &bytes))
{
	manifest_delete(config_decode(bytes.data(), bytes.size()));
}

TEST(Records, ForeignKeysAreIgnored)
{
	json_t *o = json_pack("{s:s,s:i}", "key", "servers/i-1", "revision", 3);

	EXPECT_EQ(record_from_item(o, 0), nullptr);
	json_decref(o);
}

TEST(Records, RemovalOfAnEvacuationIsDecoded)
{
	json_t *o = json_pack("{s:s,s:i,s:b}", "key", "op/evacuate/z1",
			      "revision", 9, "removed", 1);
	struct record *r = record_from_item(o, 0);

	ASSERT_NE(r, nullptr);
	EXPECT_EQ(r->kind, RECORD_EVACUATION);
	EXPECT_STREQ(r->name, "z1");
	EXPECT_TRUE(r->removed);
	record_delete(r);
	json_decref(o);
}

/* That of a data centre whose name had 64 bytes or more was ignored. */
TEST(Records, AnEvacuationNamesItsDataCentreAsTheCardsDo)
{
	for (size_t len : {31, 32, 63, 64, 188}) {
		const std::string dc(len, 'z');
		char on_card[JD_NAME_MAX];

		name_copy(on_card, dc.c_str(), sizeof(on_card));
		for (const std::string &key : {dc, dc.substr(1) + "y"}) {
			json_t *o = json_pack("{s:s,s:i,s:s}", "key",
					      ("op/evacuate/" + key).c_str(),
					      "revision", 9, "value", "e30=");
			struct record *r = record_from_item(o, 0);

			ASSERT_NE(r, nullptr) << len;
			EXPECT_EQ(r->kind, RECORD_EVACUATION);
			EXPECT_EQ(std::string(r->name) == on_card, key == dc)
				<< len;
			record_delete(r);
			json_decref(o);
		}
	}
}

TEST(Records, CardSurvivesEncodingAndDecoding)
{
	struct record *r = record_new(RECORD_CARD, "n1");
	struct record *decoded;
	char key[128];
	char *value;
	json_t *o;

	mem_copy_str(r->u.card.node, "n1", sizeof(r->u.card.node));
	r->u.card.boot = 44;
	value = record_value(r);
	record_key(r->kind, r->name, key, sizeof(key));
	o = json_pack("{s:s,s:i,s:s}", "key", key, "revision", 5, "value",
		      value);
	decoded = record_from_item(o, 0);
	ASSERT_NE(decoded, nullptr);
	EXPECT_FALSE(decoded->invalid);
	EXPECT_EQ(decoded->u.card.boot, 44u);
	record_delete(decoded);
	record_delete(r);
	free(value);
	json_decref(o);
}

TEST(Records, UndecodableCardIsMarkedBroken)
{
	char *value = base64_encode("junk", 4);
	json_t *o = json_pack("{s:s,s:i,s:s}", "key", "own/node/n1", "revision",
			      5, "value", value);
	struct record *r = record_from_item(o, 0);

	ASSERT_NE(r, nullptr);
	EXPECT_TRUE(r->invalid);
	record_delete(r);
	json_decref(o);
	free(value);
}

/*
 * Guards against a process that ends, or that stops following the records, for
 * one that another writer has left: each is marked, and the others hold.
 */
TEST(Records, OddRecordsOfAnotherWriterLeaveTheOthersInForce)
{
	const std::string deep(200000, '\x91');
	const std::string brackets(200000, '[');
	const std::string huge("\xdd\xff\xff\xff\xff\x01", 6);
	json_t *items = json_array();
	struct record *card = record_new(RECORD_CARD, "n9");
	char *sound = record_value(card);
	struct list records;
	const struct record *r;
	int invalid = 0, sound_count = 0;

	for (const char *key : {"own/node/n1", "own/keys/s", "op/config"})
		for (const std::string &bytes :
		     {deep, brackets, huge, std::string("\xcf\xff"),
		      std::string("{\"version\":99999999999999999999}")}) {
			char *v = base64_encode(bytes.data(), bytes.size());

			json_array_append_new(
				items, json_pack("{s:s,s:i,s:s}", "key", key,
						 "revision", 5, "value", v));
			free(v);
		}
	for (const char *value : {"*", "====", "A"})
		json_array_append_new(
			items, json_pack("{s:s,s:i,s:s}", "key", "own/node/n2",
					 "revision", 5, "value", value));
	json_array_append_new(items,
			      json_pack("{s:s,s:i,s:[i]}", "key", "own/node/n3",
					"revision", 5, "value", 7));
	json_array_append_new(items,
			      json_pack("{s:s,s:i,s:s}", "key", "own/node/n9",
					"revision", 6, "value", sound));
	list_init(&records);
	records_from_items(items, 1, &records);
	list_for_each_entry(r, &records, link) {
		invalid += r->invalid;
		sound_count += !r->invalid && !strcmp(r->name, "n9");
	}
	/* Of the five configurations only the newest is decoded. */
	EXPECT_EQ(invalid, 5 + 5 + 1 + 3 + 1);
	EXPECT_EQ(sound_count, 1);
	records_delete(&records);
	json_decref(items);
	free(sound);
	record_delete(card);
}

/* A configuration whose route r2 is @route, beside the sound r1. */
static struct manifest *decode_with_route(const std::string &route)
{
	std::string text = "{\"version\":\"0000000D\",\"routes\":["
			   "{\"name\":\"r1\",\"host\":\"a.example\","
			   "\"pathPrefix\":\"/x/\",\"type\":\"idempotent\","
			   "\"service\":\"s1\"}," +
			   route + "],\"services\":[{\"name\":\"s1\"}]}";

	return config_decode(text.data(), text.size());
}

static std::string route_with(const std::string &fields)
{
	return "{\"name\":\"r2\",\"host\":\"a.example\","
	       "\"pathPrefix\":\"/x/y/\",\"type\":\"idempotent\"," +
	       fields + "}";
}

/*
 * One route that can't be taken made the node keep the old configuration, and
 * answer 404 on all new routes, for good.
 */
TEST(Records, ARouteThatCantBeTakenLeavesTheOthersInForce)
{
	std::string many_regions = "\"x\"";

	for (int i = 0; i < 8; i++)
		many_regions += ",\"x\"";
	for (const std::string &fields : {
		     std::string("\"service\":\"\""),
		     std::string("\"service\":null"),
		     std::string("\"service\":7"),
		     "\"service\":\"s1\",\"allowedRegions\":[" + many_regions +
			     "]",
		     std::string("\"trafficSplit\":[{\"service\":\"s1\","
				 "\"weight\":0}]"),
		     std::string("\"trafficSplit\":[{\"weight\":3}]"),
		     std::string("\"service\":\"s1\",\"allowedRegions\":[7]"),
		     std::string("\"service\":\"s1\","
				 "\"allowedRegions\":\"north\""),
	     }) {
		struct manifest *m = decode_with_route(route_with(fields));
		const struct route *r;

		ASSERT_NE(m, nullptr) << fields;
		EXPECT_EQ(m->version, 13u);
		r = manifest_match_host(m, "a.example", "/x/1");
		ASSERT_NE(r, nullptr) << fields;
		EXPECT_STREQ(r->service, "s1");
		EXPECT_FALSE(r->invalid);
		/* It must not fall to the route with the shorter prefix. */
		r = manifest_match_host(m, "a.example", "/x/y/1");
		ASSERT_NE(r, nullptr) << fields;
		EXPECT_STREQ(r->name, "r2") << fields;
		EXPECT_TRUE(r->invalid) << fields;
		manifest_delete(m);
	}
}

static std::string quoted(const std::string &name)
{
	return "\"" + name + "\"";
}

/*
 * A service whose name had 32 bytes or more was left out, and requests of a
 * route to it, or of one with such a region, were refused.
 */
TEST(Records, NamesMayHaveAnyLength)
{
	for (size_t len : {31, 32, 34, 300}) {
		const std::string name(len, 'n');
		const std::string other = name.substr(1) + "m";
		std::string text =
			"{\"version\":\"1\",\"routes\":["
			"{\"name\":" +
			quoted(name) +
			",\"host\":\"h\",\"pathPrefix\":\"/a/\",\"service\":" +
			quoted(name) + ",\"allowedRegions\":[" + quoted(name) +
			"]},{\"name\":" + quoted(other) +
			",\"host\":\"h\",\"pathPrefix\":\"/b/\","
			"\"trafficSplit\":[{\"weight\":1,\"service\":" +
			quoted(other) +
			"}]}],\"services\":[{\"name\":" + quoted(name) +
			"},{\"name\":" + quoted(other) + ",\"sharded\":true}]}";
		struct manifest *m = config_decode(text.data(), text.size());
		const struct service *sv;
		const struct route *r;
		char field[JD_NAME_MAX];

		ASSERT_NE(m, nullptr);
		r = manifest_match_host(m, "h", "/a/1");
		ASSERT_FALSE(r->invalid);
		sv = manifest_service(m, r->service);
		ASSERT_NE(sv, nullptr);
		EXPECT_FALSE(sv->keyed);
		name_copy(field, name.c_str(), sizeof(field));
		EXPECT_TRUE(region_set_allows(&r->home_regions, field));
		name_copy(field, other.c_str(), sizeof(field));
		EXPECT_FALSE(region_set_allows(&r->home_regions, field));
		r = manifest_match_host(m, "h", "/b/1");
		ASSERT_FALSE(r->invalid);
		EXPECT_STREQ(r->name, field);
		ASSERT_EQ(r->split_count, 1u);
		sv = manifest_service(m, r->splits[0].service);
		ASSERT_NE(sv, nullptr);
		EXPECT_TRUE(sv->keyed);
		manifest_delete(m);
	}
}

/* With more than eight, all requests of the route were refused. */
TEST(Records, ARouteMayBeSplitIntoAnyNumberOfParts)
{
	for (uint32_t parts : {1, 8, 9, 300}) {
		std::string list;
		struct manifest *m;
		const struct route *r;

		for (uint32_t i = 0; i < parts; i++)
			list += std::string(i ? "," : "") + "{\"service\":\"s" +
				std::to_string(i) +
				"\",\"weight\":" + std::to_string(i + 1) + "}";
		m = decode_with_route(
			route_with("\"trafficSplit\":[" + list + "]"));
		ASSERT_NE(m, nullptr);
		r = manifest_match_host(m, "a.example", "/x/y/1");
		ASSERT_NE(r, nullptr);
		EXPECT_FALSE(r->invalid) << parts;
		ASSERT_EQ(r->split_count, parts);
		EXPECT_EQ(r->splits[parts - 1].weight, parts);
		EXPECT_EQ(r->splits[parts - 1].service,
			  "s" + std::to_string(parts - 1));
		manifest_delete(m);
	}
}

TEST(Records, ARouteWithoutAHostOrPrefixIsLeftOut)
{
	for (const char *route : {"null", "7",
				  "{\"name\":\"r2\",\"host\":null,"
				  "\"pathPrefix\":\"/z/\",\"service\":\"s1\"}",
				  "{\"name\":\"r2\",\"host\":\"a.example\","
				  "\"pathPrefix\":\"\",\"service\":\"s1\"}"}) {
		struct manifest *m = decode_with_route(route);

		ASSERT_NE(m, nullptr) << route;
		EXPECT_NE(manifest_match_host(m, "a.example", "/x/1"), nullptr);
		EXPECT_EQ(manifest_match_host(m, "a.example", "/z/1"), nullptr);
		manifest_delete(m);
	}
}

/*
 * Requests of a route whose prefix had 128 bytes or more were run by the
 * service of a shorter prefix; those of a host that long were answered with
 * 404.
 */
TEST(Records, ARouteMatchesByItsWholeHostAndPrefix)
{
	for (size_t len : {8, 127, 128, 133, 300, 16000}) {
		const std::string host(len, 'h');
		const std::string prefix =
			"/x/" + std::string(len - 4, 'p') + "/";
		struct manifest *m = decode_with_route(
			"{\"name\":\"r2\",\"host\":\"a.example\","
			"\"pathPrefix\":\"" +
			prefix +
			"\",\"service\":\"s2\"},"
			"{\"name\":\"r3\",\"host\":\"" +
			host + "\",\"pathPrefix\":\"/\",\"service\":\"s1\"}");

		ASSERT_NE(m, nullptr);
		for (bool indexed : {false, true}) {
			const struct route *r;

			if (indexed)
				manifest_build_index(m);
			r = manifest_match_host(m, "a.example",
						(prefix + "1").c_str());
			ASSERT_NE(r, nullptr);
			EXPECT_STREQ(r->service, "s2") << len;
			r = manifest_match_host(
				m, "a.example",
				(prefix.substr(0, len - 1) + "q/").c_str());
			ASSERT_NE(r, nullptr);
			EXPECT_STREQ(r->name, "r1") << len;
			r = manifest_match_host(m, host.c_str(), "/1");
			ASSERT_NE(r, nullptr) << len;
			EXPECT_STREQ(r->name, "r3");
			EXPECT_EQ(manifest_match_host(m, (host + "h").c_str(),
						      "/1"),
				  nullptr);
		}
		manifest_delete(m);
	}
}

TEST(Records, UnusualButUsableFieldsAreTaken)
{
	struct manifest *m = decode_with_route(route_with(
		"\"type\":\"streamed\",\"timeoutS\":null,"
		"\"allowedRegions\":null,\"priority\":1.0,\"trafficSplit\":["
		"{\"service\":\"s1\",\"weight\":0.75},"
		"{\"service\":\"s2\",\"weight\":0.25},"
		"{\"service\":\"s3\",\"weight\":0}]"));
	const struct route *r;

	ASSERT_NE(m, nullptr);
	r = manifest_match_host(m, "a.example", "/x/y/1");
	ASSERT_NE(r, nullptr);
	EXPECT_FALSE(r->invalid);
	EXPECT_EQ(r->idempotent, 0u) << "an unknown type may not run twice";
	EXPECT_GT(r->timeout_ms, 0u);
	EXPECT_EQ(r->priority, 1u);
	ASSERT_EQ(r->split_count, 2u);
	EXPECT_EQ(r->splits[0].weight, 3 * r->splits[1].weight);
	manifest_delete(m);
}

/*
 * A number of 2^32 wrapped to 0: the highest priority, a single attempt, no
 * limit of connections. A time of 10^9 s became the default.
 */
TEST(Records, ANumberThatDoesNotFitIsTheLargest)
{
	for (const std::string &n :
	     {std::string("4294967295"), std::string("4294967296"),
	      std::string("9223372036854775807"), std::string("4294967296.0"),
	      std::string("1e18"), std::string("1e300")}) {
		std::string text =
			"{\"version\":\"1\",\"routes\":[{\"name\":\"r\","
			"\"host\":\"h\",\"pathPrefix\":\"/\","
			"\"service\":\"s\",\"priority\":" +
			n + ",\"maxAttempts\":" + n + ",\"timeoutS\":" + n +
			"}],\"services\":[{\"name\":\"s\",\"maxConnections\":" +
			n +
			"}],\"tenants\":[{\"name\":\"o\",\"priority\":" + n +
			"}],\"limits\":{\"maxBodyBytes\":" + n + "}}";
		struct manifest *m = config_decode(text.data(), text.size());
		const struct route *r;

		ASSERT_NE(m, nullptr) << n;
		r = manifest_match_host(m, "h", "/");
		ASSERT_FALSE(r->invalid);
		EXPECT_EQ(r->priority, UINT32_MAX) << n;
		EXPECT_EQ(r->max_attempts, UINT32_MAX) << n;
		EXPECT_EQ(r->timeout_ms, 1000000000000u) << n;
		EXPECT_LT(r->timeout_ms, UINT64_MAX / NS_PER_MS);
		EXPECT_EQ(manifest_service(m, "s")->max_connections, UINT32_MAX)
			<< n;
		EXPECT_EQ(manifest_organisation(m, "o")->priority, UINT32_MAX)
			<< n;
		EXPECT_GE(m->limits.body_bytes, UINT32_MAX) << n;
		manifest_delete(m);
	}
}

TEST(Records, LimitsMayBeFractionsOrMissing)
{
	std::string text = "{\"version\":\"1\",\"routes\":[],"
			   "\"limits\":{\"maxBodyBytes\":2048.0}}";
	struct manifest *m = config_decode(text.data(), text.size());

	ASSERT_NE(m, nullptr);
	EXPECT_EQ(m->limits.body_bytes, 2048u);
	EXPECT_EQ(m->limits.header_bytes, 0u);
	manifest_delete(m);
}

/*
 * A node that lags behind several versions of a large configuration would
 * decode each of them, and serve nothing meanwhile.
 */
TEST(Records, OnlyTheNewestOfSeveralConfigurationsIsDecoded)
{
	json_t *items = json_array();
	struct list records;
	const struct record *r;
	int manifests = 0, others = 0;

	list_init(&records);
	for (int v : {7, 9, 8}) {
		std::string text = "{\"version\":\"" + std::to_string(v) +
				   "\",\"routes\":[]}";
		char *value = base64_encode(text.data(), text.size());

		json_array_append_new(items, json_pack("{s:s,s:i,s:s}", "key",
						       "op/config", "revision",
						       20 + v, "value", value));
		json_array_append_new(items,
				      json_pack("{s:s,s:i,s:b}", "key",
						"op/evacuate/z1", "revision",
						30 + v, "removed", v % 2));
		free(value);
	}
	records_from_items(items, 2, &records);
	list_for_each_entry(r, &records, link) {
		others += r->kind != RECORD_MANIFEST;
		if (r->kind != RECORD_MANIFEST)
			continue;
		manifests++;
		ASSERT_NE(r->u.manifest, nullptr);
		EXPECT_EQ(r->u.manifest->version, 9u);
		EXPECT_EQ(r->revision, revision_make(2, 29));
	}
	EXPECT_EQ(manifests, 1);
	EXPECT_EQ(others, 3);
	records_delete(&records);
	json_decref(items);
}
