#include "jd_test.hpp"

extern "C" {
#include "core/home_region.h"
#include "core/mem.h"
}

class HomeRegion : public ::testing::Test
{
protected:
	void SetUp() override
	{
		m = manifest_new();
		struct route *r = manifest_add_route(m);
		mem_copy_str(r->name, "r", sizeof(r->name));
		add(&r->home_regions, "a");
		add(&r->home_regions, "b");
		unbound_route = manifest_add_route(m);
		mem_copy_str(unbound_route->name, "free",
			     sizeof(unbound_route->name));
	}
	void TearDown() override
	{
		manifest_delete(m);
	}

	static void add(struct region_set *set, const char *region)
	{
		mem_copy_str(set->names[set->count++], region, JD_NAME_MAX);
	}

	void organisation(const char *region)
	{
		struct organisation *o = manifest_add_organisation(m);

		mem_copy_str(o->name, "o", sizeof(o->name));
		add(&o->home_regions, region);
	}

	struct manifest *m;
	struct route *unbound_route;
	struct home h;
};

TEST_F(HomeRegion, RouteAndOrganisationBothBind)
{
	organisation("b");
	ASSERT_EQ(home_find(&h, m, "r", "o"), REFUSAL_NONE);
	EXPECT_FALSE(home_allows(&h, "a"));
	EXPECT_TRUE(home_allows(&h, "b"));
	EXPECT_STREQ(home_allowed_region(&h), "b");
}

TEST_F(HomeRegion, AnOrganisationBindsARouteWithoutHomeRegions)
{
	organisation("c");
	ASSERT_EQ(home_find(&h, m, "free", "o"), REFUSAL_NONE);
	EXPECT_FALSE(home_allows(&h, "a"));
	EXPECT_STREQ(home_allowed_region(&h), "c");
}

TEST_F(HomeRegion, DisjointHomeRegionsAllowNothing)
{
	organisation("c");
	ASSERT_EQ(home_find(&h, m, "r", "o"), REFUSAL_NONE);
	for (const char *region : {"a", "b", "c"})
		EXPECT_FALSE(home_allows(&h, region));
	EXPECT_EQ(home_allowed_region(&h), nullptr);
}

TEST_F(HomeRegion, AnUnknownOrganisationIsRefusedOnceSomeAreDeclared)
{
	EXPECT_EQ(home_find(&h, m, "r", "x"), REFUSAL_NONE);
	organisation("a");
	EXPECT_EQ(home_find(&h, m, "r", "x"), REFUSAL_NO_ORGANISATION);
	EXPECT_EQ(home_find(&h, m, "r", ""), REFUSAL_NONE);
	EXPECT_EQ(home_find(&h, m, "nope", "o"), REFUSAL_NO_ROUTE);
}
