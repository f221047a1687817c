#include "jd_test.hpp"

#include <map>
#include <rapidcheck/gtest.h>
#include <set>
#include <string>

extern "C" {
#include "core/mem.h"
#include "core/organisations/api_keys.h"
#include "core/organisations/identify.h"
#include "core/text.h"
}

static struct organisation *add_organisation(struct manifest *m,
					     const std::string &name,
					     const std::string &key)
{
	struct organisation *o = manifest_add_organisation(m);

	m->api_keys_required = true;
	mem_copy_str(o->name, name.c_str(), sizeof(o->name));
	organisation_add_key(o, key.c_str());
	return o;
}

TEST(ApiKeys, EachOfManyKeysNamesItsOrganisation)
{
	struct manifest *m = manifest_new();
	size_t longest = 0;

	for (int i = 0; i < 5000; i++) {
		std::string n = std::to_string(i);

		organisation_add_key(add_organisation(m, "o" + n, "first-" + n),
				     ("second-" + n).c_str());
	}
	manifest_build_index(m);
	for (int i = 0; i < 5000; i++) {
		std::string n = std::to_string(i);

		for (const char *kind : {"first-", "second-"}) {
			const struct organisation *o =
				api_keys_find(m, (kind + n).c_str());

			ASSERT_NE(o, nullptr);
			EXPECT_EQ(o->name, "o" + n);
		}
	}
	EXPECT_EQ(api_keys_find(m, "first-5000"), nullptr);
	for (size_t i = 0; i < m->keys->bucket_count; i++) {
		size_t n = 0;

		for (struct list *p = m->keys->buckets[i].next;
		     p != &m->keys->buckets[i]; p = p->next)
			n++;
		longest = std::max(longest, n);
	}
	EXPECT_LE(longest, 10u) << "a lookup compares a few keys at most";
	manifest_delete(m);
}

/* Keys of a small alphabet: many are prefixes of others, some are shared. */
RC_GTEST_PROP(ApiKeys, OnlyAWholeKeyOfOneOrganisationIsFound,
	      (const std::vector<std::pair<uint8_t, uint16_t>> &keys))
{
	struct manifest *m = manifest_new();
	std::map<std::string, std::set<std::string>> holders;

	for (auto &k : keys) {
		std::string name = "o" + std::to_string(k.first % 8);
		std::string text = std::to_string(k.second % 300);
		const struct organisation *o =
			manifest_organisation(m, name.c_str());

		if (o)
			organisation_add_key((struct organisation *)o,
					     text.c_str());
		else
			add_organisation(m, name, text);
		holders[text].insert(name);
	}
	for (bool indexed : {false, true}) {
		if (indexed)
			manifest_build_index(m);
		for (int i = 0; i < 300; i++) {
			std::string text = std::to_string(i);
			const struct organisation *o =
				api_keys_find(m, text.c_str());

			RC_ASSERT((o != nullptr) ==
				  (holders[text].size() == 1));
			if (o)
				RC_ASSERT(holders[text].count(o->name) == 1);
		}
	}
	manifest_delete(m);
}

/* A request on a route of a manifest with the organisation "museum". */
struct IdentifyTest : public ::testing::Test {
	struct manifest *m = manifest_new();
	struct organisation *museum = add_organisation(m, "museum", "secret");
	struct route *route = manifest_add_route(m);
	struct caller_request r = {};
	struct request_rules rules = {};

	IdentifyTest()
	{
		route->priority = 3;
		rules.route = route;
		r.request = http_request_new("GET", "/");
		r.organisation_header = "X-Organisation";
		payload_add_header(&r.request->payload, "authorization",
				   "Bearer secret");
		payload_add_header(&r.request->payload, "x-organisation",
				   "forged");
	}
	~IdentifyTest() override
	{
		free(r.api_key);
		http_request_unref(r.request);
		manifest_delete(m);
	}
	enum refusal identify(const char *key)
	{
		free(r.api_key);
		r.api_key = mem_dup_str(key);
		return identify_caller(m, &r, &rules);
	}
	const char *header(const char *name)
	{
		return payload_header(&r.request->payload, name);
	}
	static void allow(struct region_set *set, const char *region)
	{
		mem_copy_str(set->names[set->count++], region, JD_NAME_MAX);
	}
};

TEST_F(IdentifyTest, TheKeyNamesTheOrganisationAndIsRemoved)
{
	EXPECT_EQ(identify("secret"), REFUSAL_NONE);
	EXPECT_STREQ(rules_organisation(&rules), "museum");
	EXPECT_EQ(header("Authorization"), nullptr);
	EXPECT_EQ(header("X-Organisation"), nullptr);
	EXPECT_STREQ(r.api_key, "");
}

TEST_F(IdentifyTest, WithoutOrganisationsTheRequestStaysAsItIs)
{
	m->api_keys_required = false;
	EXPECT_EQ(identify("anything"), REFUSAL_NONE);
	EXPECT_STREQ(rules_organisation(&rules), "");
	EXPECT_STREQ(header("Authorization"), "Bearer secret");
	EXPECT_STREQ(header("X-Organisation"), "forged");
}

TEST_F(IdentifyTest, AnOpenRouteNeedsNoKeyButKnowsOne)
{
	route->open = true;
	EXPECT_EQ(identify(""), REFUSAL_NONE);
	EXPECT_STREQ(rules_organisation(&rules), "");
	EXPECT_EQ(header("Authorization"), nullptr);
	EXPECT_EQ(header("X-Organisation"), nullptr);
	EXPECT_EQ(identify("secret"), REFUSAL_NONE);
	EXPECT_STREQ(rules_organisation(&rules), "museum");
	EXPECT_EQ(identify("withdrawn"), REFUSAL_UNKNOWN_API_KEY);
}

TEST_F(IdentifyTest, ARouteThatIsNotOpenNeedsAKnownKey)
{
	EXPECT_EQ(identify(""), REFUSAL_UNKNOWN_API_KEY);
	EXPECT_EQ(identify("secre"), REFUSAL_UNKNOWN_API_KEY);
	EXPECT_EQ(identify("secrets"), REFUSAL_UNKNOWN_API_KEY);
	r.bad_api_key = true;
	EXPECT_EQ(identify("secret"), REFUSAL_UNKNOWN_API_KEY);
}

/* Keys are required although no organisation could be decoded. */
TEST_F(IdentifyTest, NoOrganisationsOpenNothing)
{
	list_remove(&museum->link);
	EXPECT_EQ(identify("secret"), REFUSAL_UNKNOWN_API_KEY);
	EXPECT_EQ(identify(""), REFUSAL_UNKNOWN_API_KEY);
	organisation_delete(museum);
}

TEST_F(IdentifyTest, TheOrganisationsPriorityGoesFirst)
{
	uint32_t as_route, urgent, lesser_route;

	EXPECT_EQ(identify("secret"), REFUSAL_NONE);
	as_route = rules.priority;
	museum->has_priority = true;
	museum->priority = 3;
	EXPECT_EQ(identify("secret"), REFUSAL_NONE);
	EXPECT_EQ(rules.priority, as_route) << "it had the route's";
	museum->priority = 0;
	EXPECT_EQ(identify("secret"), REFUSAL_NONE);
	urgent = rules.priority;
	EXPECT_LT(urgent, as_route);
	museum->priority = 2;
	route->priority = 0;
	EXPECT_EQ(identify("secret"), REFUSAL_NONE);
	EXPECT_GT(rules.priority, urgent) << "whatever the route's";
	EXPECT_LT(rules.priority, as_route);
	lesser_route = rules.priority;
	route->priority = 1;
	EXPECT_EQ(identify("secret"), REFUSAL_NONE);
	EXPECT_GT(rules.priority, lesser_route);
}

/*
 * Load: all organisations of one priority at a service without room for all.
 * Payments go before lookups, as they do without organisations.
 */
TEST_F(IdentifyTest, AmongEqualOrganisationsTheRoutesPriorityDecides)
{
	uint32_t payment;

	museum->has_priority = true;
	museum->priority = 1;
	route->priority = 1;
	EXPECT_EQ(identify("secret"), REFUSAL_NONE);
	payment = rules.priority;
	route->priority = 2;
	EXPECT_EQ(identify("secret"), REFUSAL_NONE);
	EXPECT_GT(rules.priority, payment);
	museum->priority = UINT32_MAX;
	EXPECT_EQ(identify("secret"), REFUSAL_NONE);
	EXPECT_GT(rules.priority, payment) << "no wrap";
}

TEST_F(IdentifyTest, HomeRegionsOfRouteAndOrganisationBothBind)
{
	allow(&museum->home_regions, "north");
	allow(&museum->home_regions, "south");
	EXPECT_EQ(identify("secret"), REFUSAL_NONE);
	EXPECT_FALSE(region_set_allows(&rules.regions, "west"));
	allow(&route->home_regions, "south");
	allow(&route->home_regions, "west");
	EXPECT_EQ(identify("secret"), REFUSAL_NONE);
	EXPECT_TRUE(region_set_allows(&rules.regions, "south"));
	EXPECT_FALSE(region_set_allows(&rules.regions, "north"));
	EXPECT_FALSE(region_set_allows(&rules.regions, "west"));
	museum->home_regions.count = 1;
	EXPECT_EQ(identify("secret"), REFUSAL_NO_COMMON_REGION);
	EXPECT_EQ(refusal_find(REFUSAL_NO_COMMON_REGION)->http_code, 503);
}
