#include "jd_test.hpp"

#include <set>
#include <string>

extern "C" {
#include "core/config_lint.h"
#include "core/mem.h"
}

/* Two routes to a service and an organisation, without a finding. */
struct ConfigLintTest : public ::testing::Test {
	struct manifest *m = manifest_new();
	struct route *a = add_route("a", "/a/");
	struct route *b = add_route("b", "/b/");
	struct service *service = add_service("archive");
	struct organisation *museum = add_organisation("museum", "key-1");

	~ConfigLintTest() override
	{
		manifest_delete(m);
	}
	struct route *add_route(const char *name, const char *path)
	{
		struct route *r = manifest_add_route(m);

		mem_copy_str(r->name, name, sizeof(r->name));
		route_set_host(r, "h");
		route_set_path(r, path);
		mem_copy_str(r->service, "archive", sizeof(r->service));
		r->timeout_ms = 1000;
		r->objective_ms = 500;
		r->max_attempts = 2;
		return r;
	}
	struct service *add_service(const char *name)
	{
		struct service *s = manifest_add_service(m);

		mem_copy_str(s->name, name, sizeof(s->name));
		return s;
	}
	struct organisation *add_organisation(const char *name, const char *key)
	{
		struct organisation *o = manifest_add_organisation(m);

		mem_copy_str(o->name, name, sizeof(o->name));
		organisation_add_key(o, key);
		return o;
	}
	void add_split(struct route *r, const char *to, uint32_t weight)
	{
		struct split *s = route_add_split(r);

		mem_copy_str(s->service, to, sizeof(s->service));
		s->weight = weight;
	}
	std::set<std::string> fields()
	{
		std::set<std::string> all;
		struct findings f;
		const struct finding *it;

		findings_init(&f);
		config_lint(m, "config", &f);
		list_for_each_entry(it, &f.items, link) {
			all.insert(it->field);
			EXPECT_STREQ(it->file, "config");
			EXPECT_EQ(strstr(it->found, "key-"), nullptr)
				<< "a key is a secret";
		}
		findings_done(&f);
		return all;
	}
	using Fields = std::set<std::string>;
};

TEST_F(ConfigLintTest, APlainManifestHasNoFindings)
{
	add_split(b, "archive", 1);
	EXPECT_EQ(fields(), Fields{});
}

TEST_F(ConfigLintTest, RoutesThatNeverMatch)
{
	route_set_path(b, "/a/");
	route_set_host(b, "H");
	EXPECT_EQ(fields(), Fields{"route[1].path"});
	route_set_host(b, "other");
	EXPECT_EQ(fields(), Fields{});
	route_set_path(b, "b/");
	EXPECT_EQ(fields(), Fields{"route[1].path"});
	route_set_path(b, "/b/");
	b->invalid = true;
	EXPECT_EQ(fields(), Fields{"route[1].name"});
	b->invalid = false;
	mem_copy_str(b->name, "a", sizeof(b->name));
	EXPECT_EQ(fields(), Fields{"route[1].name"});
}

TEST_F(ConfigLintTest, PartsAndServicesThatGetNoRequests)
{
	add_split(a, "archive", 1);
	add_split(a, "index", 0);
	EXPECT_EQ(fields(), (Fields{"route[0].splits[1].service",
				    "route[0].splits[1].weight"}));
	add_service("index");
	EXPECT_EQ(fields(),
		  (Fields{"route[0].splits[1].weight", "service[1].name"}));
	a->splits[1].weight = 2;
	EXPECT_EQ(fields(), Fields{});
	add_split(a, "archive", 1);
	EXPECT_EQ(fields(), Fields{"route[0].splits[2].service"});
	mem_copy_str(b->service, "none", sizeof(b->service));
	a->split_count = 2;
	EXPECT_EQ(fields(), Fields{"route[1].service"});
}

TEST_F(ConfigLintTest, LimitsThatContradictEachOther)
{
	a->objective_ms = 1001;
	a->max_attempts = 0;
	b->timeout_ms = 0;
	b->objective_ms = 0;
	EXPECT_EQ(fields(),
		  (Fields{"route[0].objective_ms", "route[0].max_attempts",
			  "route[1].timeout_ms"}));
}

TEST_F(ConfigLintTest, OrganisationsThatNoRouteCanServe)
{
	a->open = true;
	b->home_regions.count = 1;
	mem_copy_str(b->home_regions.names[0], "north", JD_NAME_MAX);
	museum->home_regions.count = 1;
	mem_copy_str(museum->home_regions.names[0], "south", JD_NAME_MAX);
	EXPECT_EQ(fields(), Fields{"organisation[0].name"});
	museum->home_regions.count = 0;
	EXPECT_EQ(fields(), Fields{});
	b->open = true;
	EXPECT_EQ(fields(), Fields{"organisation[0].name"});
}

TEST_F(ConfigLintTest, KeysAndQuotasWithoutEffect)
{
	struct organisation *o = add_organisation("library", "key-2");

	organisation_add_key(o, "key-1");
	o->burst = 5;
	EXPECT_EQ(fields(), (Fields{"organisation[1].api_keys[1]",
				    "organisation[1].burst"}));
	o->rate_per_s = 1;
	mem_copy_str(o->name, "museum", sizeof(o->name));
	EXPECT_EQ(fields(), (Fields{"organisation[1].api_keys[1]",
				    "organisation[1].name"}));
	manifest_add_organisation(m);
	EXPECT_TRUE(fields().count("organisation[2].api_keys"));
}
