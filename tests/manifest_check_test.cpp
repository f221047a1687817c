#include "jd_test.hpp"

#include <rapidcheck/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

extern "C" {
#include "core/finding.h"
#include "core/mem.h"
#include "core/view.h"
#include "io/manifest_reader.h"
}

namespace
{

std::string read_file(const std::string &name)
{
	std::ifstream in(std::string(JD_SOURCE_DIR) + "/" + name);
	std::stringstream s;

	s << in.rdbuf();
	return s.str();
}

// The view of a fleet with manifest @m, which it owns, and no nodes at first.
class Fleet
{
public:
	explicit Fleet(struct manifest *m)
	{
		struct doc *d = doc_new(DOC_MANIFEST, "");

		d->u.manifest = m;
		d->revision = 1;
		view_init(&view);
		view_apply(&view, d);
	}
	~Fleet()
	{
		view_done(&view);
	}

	void add_node(const char *dc, const char *region, const char *service)
	{
		struct doc *d = doc_new(DOC_ROSTER, dc);

		d->revision = ++view.revision + 1;
		d->u.roster = roster_new(dc, region);
		struct member *m = roster_add(d->u.roster, dc, d->revision);
		mem_copy_str(m->service, service, sizeof(m->service));
		view_apply(&view, d);
	}

	struct view view;
};

// All findings of @text as a change to the manifest of @fleet, one per line.
std::string check(const std::string &text, const struct view *fleet = nullptr)
{
	struct findings f;
	struct finding *it;
	std::string all;

	findings_init(&f);
	struct manifest *m = manifest_read_change("m", text.c_str(), fleet, &f);
	EXPECT_EQ(m == nullptr, f.count > 0);
	manifest_delete(m);
	findings_sort(&f);
	list_for_each_entry(it, &f.items, link) {
		char *line = finding_line(it);

		all += std::string(line) + "\n";
		free(line);
	}
	findings_done(&f);
	return all;
}

struct manifest *read_manifest(const std::string &text)
{
	struct findings f;

	findings_init(&f);
	struct manifest *m = manifest_read("m", text.c_str(), &f);
	findings_done(&f);
	return m;
}

const std::string dcs = "[[data_centre]]\nname = \"s1\"\nregion = \"south\"\n"
			"[[data_centre]]\nname = \"n1\"\nregion = \"north\"\n"
			"state = \"out\"\n";

std::string route_text(const std::string &more, const std::string &name = "a",
		       const std::string &path = "/a/")
{
	return "[[route]]\nname = \"" + name +
	       "\"\nservice = \"s\"\npath = \"" + path +
	       "\"\nkind = \"keyed\"\nkey_source = \"path\"\n" + more;
}

} // namespace

TEST(ManifestCheck, ExamplesAreAccepted)
{
	int count = 0;

	for (const auto &file :
	     std::filesystem::directory_iterator(JD_SOURCE_DIR "/examples")) {
		std::string name = file.path().filename();

		EXPECT_EQ(check(read_file("examples/" + name)), "") << name;
		count++;
	}
	EXPECT_GE(count, 3);
}

TEST(ManifestCheck, ExampleHasTheExpectedValues)
{
	struct manifest *m = read_manifest(read_file("examples/ezustkep.toml"));

	ASSERT_NE(m, nullptr);
	EXPECT_STREQ(manifest_data_centre(m, "at-east-2")->region, "at-east");
	EXPECT_EQ(manifest_route(m, "archive")->shards, 16384u);
	EXPECT_FALSE(route_idempotent(manifest_route(m, "payments"), "PUT"));
	EXPECT_TRUE(route_idempotent(manifest_route(m, "archive"), "PUT"));
	EXPECT_FALSE(route_idempotent(manifest_route(m, "archive"), "POST"));
	manifest_delete(m);
}

TEST(ManifestCheck, UnknownFieldsAreReportedWithTheirPosition)
{
	EXPECT_EQ(check(dcs + route_text("colour = 3\n") + "[other]\nx = 1\n"),
		  "m:14:10: route[0].colour: expected a known field, found 3\n"
		  "m:15:1: other: expected a known field, found a table\n"
		  "m:16:5: other.x: expected a known field, found 1\n");
}

TEST(ManifestCheck, TablesAfterAnEmptyOneAreChecked)
{
	std::string all =
		check(dcs + "[[route]]\n" + route_text("shards = 0\n"));

	EXPECT_NE(all.find("route[0].name"), std::string::npos) << all;
	EXPECT_NE(all.find("route[1].shards"), std::string::npos) << all;
}

TEST(ManifestCheck, ArraysMustHaveTheExpectedType)
{
	EXPECT_EQ(check(dcs + route_text("home_regions = \"south\"\n")),
		  "m:14:16: route[0].home_regions: expected an array of "
		  "strings, found south\n");
	EXPECT_NE(check("route = 3\n").find("expected an array of tables"),
		  std::string::npos);
	EXPECT_NE(check(dcs + route_text("idempotent = [\"GET\", \"EAT\"]\n"))
			  .find("route[0].idempotent[1]: expected one of GET"),
		  std::string::npos);
}

TEST(ManifestCheck, NamesAndPathsAreUnique)
{
	std::string all = check(dcs + dcs + route_text("") + route_text("") +
				"[[organisation]]\nname = \"o\"\n"
				"[[organisation]]\nname = \"o\"\n");

	for (const char *field :
	     {"data_centre[2].name", "data_centre[3].name",
	      "organisation[1].name", "route[1].name", "route[1].path"})
		EXPECT_NE(all.find(field), std::string::npos) << all;
}

TEST(ManifestCheck, PathsStartWithASlash)
{
	EXPECT_NE(check(dcs + route_text("", "a", "a/")).find("route[0].path"),
		  std::string::npos);
}

TEST(ManifestCheck, KeyedRoutesNameTheirKey)
{
	std::string text = "[[route]]\nname = \"a\"\nservice = \"s\"\n"
			   "path = \"/a\"\nkind = \"keyed\"\n";

	EXPECT_NE(check(dcs + text + "key_source = \"query\"\n")
			  .find("route[0].key_name"),
		  std::string::npos);
	EXPECT_EQ(check(dcs + text +
			"key_source = \"query\"\n"
			"key_name = \"k\"\n"),
		  "");
}

TEST(ManifestCheck, HomeRegionsNeedADataCentreInService)
{
	std::string all =
		check(dcs + route_text("home_regions = [\"north\"]\n") +
		      route_text("home_regions = [\"west\"]\n", "b", "/b"));

	EXPECT_NE(all.find("route[0].home_regions: expected a data centre in "
			   "state in"),
		  std::string::npos)
		<< all;
	EXPECT_NE(all.find("route[1].home_regions[0]: expected a region of a "
			   "data centre, found west"),
		  std::string::npos)
		<< all;
	EXPECT_EQ(check(dcs + route_text("home_regions = [\"south\"]\n")), "");
}

TEST(ManifestCheck, SomeDataCentreMustBeInService)
{
	EXPECT_NE(check("[[data_centre]]\nname = \"s1\"\nregion = \"r\"\n"
			"state = \"leaving\"\n" +
			route_text(""))
			  .find("a data centre in state in, found none"),
		  std::string::npos);
}

TEST(ManifestCheck, ObjectiveIsAtMostTheTimeout)
{
	EXPECT_NE(check(dcs + route_text("objective_ms = 3000\n"))
			  .find("route[0].objective_ms"),
		  std::string::npos);
}

TEST(ManifestCheck, RunningRoutesAndDataCentresLimitChanges)
{
	Fleet fleet(read_manifest(dcs + route_text("shards = 64\n")));
	const struct view *old = &fleet.view;
	std::string all;

	ASSERT_NE(view_manifest(old), nullptr);
	EXPECT_EQ(check(dcs + route_text("shards = 64\n"), old), "");
	all = check(dcs + route_text("shards = 65\n"), old);
	EXPECT_NE(all.find("m:14:10: route[0].shards"), std::string::npos)
		<< all;
	all = check("[[data_centre]]\nname = \"n1\"\nregion = \"south\"\n" +
			    route_text("shards = 64\n"),
		    old);
	EXPECT_NE(all.find("data_centre[0].region: expected north"),
		  std::string::npos)
		<< all;
	EXPECT_NE(all.find("state out in force before it is removed, found s1"),
		  std::string::npos)
		<< all;
	all = check(dcs + "[[route]]\nname = \"a\"\nservice = \"s\"\n"
			  "path = \"/a/\"\nkind = \"any\"\n",
		    old);
	EXPECT_NE(all.find("route[0].kind"), std::string::npos) << all;
}

// A change must not forbid the last nodes that run a route's service.
TEST(ManifestCheck, AChangeLeavesEachRouteANodeThatMayServeIt)
{
	const std::string text = "[[data_centre]]\nname = \"s1\"\n"
				 "region = \"south\"\n"
				 "[[data_centre]]\nname = \"n1\"\n"
				 "region = \"north\"\n";
	Fleet fleet(read_manifest(text + route_text("")));
	const std::string leaving = "[[data_centre]]\nname = \"s1\"\n"
				    "region = \"south\"\n"
				    "state = \"leaving\"\n" +
				    text.substr(text.find("[[", 2));

	EXPECT_EQ(check(leaving + route_text(""), &fleet.view), "");
	fleet.add_node("s1", "south", "s");
	fleet.add_node("n1", "north", "other");
	std::string all = check(leaving + route_text(""), &fleet.view);
	EXPECT_NE(all.find("route[0].service: expected a running node"),
		  std::string::npos)
		<< all;
	all = check(text + route_text("home_regions = [\"north\"]\n"),
		    &fleet.view);
	EXPECT_NE(all.find("none after this change"), std::string::npos) << all;
	fleet.add_node("n1", "north", "s");
	EXPECT_EQ(check(leaving + route_text(""), &fleet.view), "");
}

TEST(ManifestCheck, TheReferencePageIsUpToDate)
{
	char *page = manifest_reference();

	EXPECT_EQ(read_file("docs/MANIFEST.md"), page)
		<< "run: jackdaw reference manifest >docs/MANIFEST.md";
	free(page);
}

// Damages an example in a few random positions: the check must not crash.
static void damage_example(const std::string &name, bool lines)
{
	std::string text = read_file("examples/" + name + ".toml");
	Fleet fleet(read_manifest(text));
	int times = *rc::gen::inRange(1, 6);

	while (times-- > 0 && !text.empty()) {
		size_t at = *rc::gen::inRange<size_t>(0, text.size());
		size_t end = lines ? text.find('\n', at) : at;
		size_t from = *rc::gen::inRange<size_t>(0, text.size());

		switch (*rc::gen::inRange(0, 3)) {
		case 0:
			text[at] = *rc::gen::arbitrary<char>();
			break;
		case 1:
			text.erase(at, end - at + 1);
			break;
		case 2:
			text.insert(at, text.substr(from, 40));
			break;
		}
	}
	check(text, &fleet.view);
}

RC_GTEST_PROP(ManifestCheck, DamagedBytesNeverCrash, ())
{
	damage_example(*rc::gen::element<std::string>("demo", "ezustkep",
						      "luz-de-portal"),
		       false);
}

RC_GTEST_PROP(ManifestCheck, DamagedLinesNeverCrash, ())
{
	damage_example(*rc::gen::element<std::string>("demo", "ezustkep",
						      "luz-de-portal"),
		       true);
}

// Replaces whole values, so that the text is valid TOML more often.
RC_GTEST_PROP(ManifestCheck, ReplacedValuesNeverCrash, ())
{
	static const std::vector<std::string> values = {
		"\"\"",	       "-1",	   "9223372036854775807",
		"true",	       "[]",	   "[[]]",
		"{}",	       "\"/\"",	   "1.5",
		"\"x y\"",     "nan",	   "[1,2]",
		"\"\\u0000\"", "07:32:00", "\"any\"",
		"0",	       "1",	   "\"query\"",
		"[\"\"]"};
	std::stringstream in(read_file(
		"examples/" +
		*rc::gen::element<std::string>("ezustkep", "luz-de-portal") +
		".toml"));
	int every = *rc::gen::inRange(2, 40);
	std::string line, text;

	while (std::getline(in, line)) {
		size_t eq = line.find(" = ");

		if (eq != std::string::npos && !*rc::gen::inRange(0, every))
			line = line.substr(0, eq + 3) +
			       *rc::gen::elementOf(values);
		text += line + "\n";
	}
	check(text);
}
