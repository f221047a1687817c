#include "jd_test.hpp"

#include <rapidcheck/gtest.h>
#include <string>

extern "C" {
#include "core/manifest.h"
#include "core/mem.h"
}

static struct route *add_route(struct manifest *m, const std::string &host,
			       const std::string &path)
{
	struct route *r = manifest_add_route(m);

	route_set_host(r, host.c_str());
	route_set_path(r, path.c_str());
	return r;
}

/* A path of few letters, so that prefixes of each other are common. */
static std::string draw_path(int parts)
{
	std::string path = "/";

	for (int i = 0; i < parts; i++)
		path += *rc::gen::element<std::string>(
			"a", "bb", "a/", "B/", std::string(130, 'c') + "/");
	return path;
}

/* A wrong match would be a 404, or a request run by another service. */
RC_GTEST_PROP(Manifest, TheIndexFindsWhatAScanFinds, ())
{
	struct manifest *m = manifest_new();
	const int routes = *rc::gen::inRange(0, 40);
	const std::string longest(200, 'a');
	const char *const hosts[] = {"", "a.example", "B.example", "a.exampl",
				     longest.c_str()};

	for (int i = 0; i < routes; i++)
		add_route(m, hosts[*rc::gen::inRange(0, 5)],
			  draw_path(*rc::gen::inRange(0, 5)));
	for (int i = 0; i < 30; i++) {
		const std::string host = *rc::gen::element<std::string>(
			"", "a.example", "A.EXAMPLE", "b.example", "c.example",
			longest, std::string(200, 'A'), longest.substr(1));
		const std::string path =
			draw_path(*rc::gen::inRange(0, 6)) +
			*rc::gen::element<std::string>("", "?q=/a/");
		const struct route *scanned =
			manifest_match_host(m, host.c_str(), path.c_str());

		manifest_build_index(m);
		RC_ASSERT(manifest_match_host(m, host.c_str(), path.c_str()) ==
			  scanned);
		/* A route that is added drops the index. */
		add_route(m, hosts[*rc::gen::inRange(0, 5)],
			  draw_path(*rc::gen::inRange(0, 5)));
	}
	manifest_delete(m);
}

TEST(Manifest, ACopyOfAnIndexedManifestMatchesTheSame)
{
	struct manifest *m = manifest_new();
	struct manifest *copy;
	const struct route *r;

	add_route(m, "a.example", "/x/");
	add_route(m, "a.example", "/x/y/");
	manifest_build_index(m);
	copy = manifest_copy(m);
	manifest_delete(m);
	manifest_build_index(copy);
	r = manifest_match_host(copy, "A.Example", "/x/y/z");
	ASSERT_NE(r, nullptr);
	EXPECT_STREQ(r->path, "/x/y/");
	EXPECT_EQ(manifest_match_host(copy, "a.example", "/x"), nullptr);
	manifest_delete(copy);
}

TEST(Manifest, TheLongestPathMatches)
{
	struct manifest *m = manifest_new();
	const std::string longest(127, 'p');
	struct route *r = add_route(m, "h", longest);

	manifest_build_index(m);
	EXPECT_EQ(manifest_match_host(m, "h", longest.c_str()), r);
	EXPECT_EQ(manifest_match_host(m, "h", (longest + "/more").c_str()), r);
	EXPECT_EQ(manifest_match_host(m, "h", longest.c_str() + 1), nullptr);
	manifest_delete(m);
}
