#include "jd_test.hpp"

extern "C" {
#include "cli/burn_html.h"
#include "cli/burn_report.h"
#include "core/mem.h"
}

namespace
{

class BurnReport : public testing::Test
{
protected:
	BurnReport() : m(manifest_new())
	{
		burn_report_init(&r);
		for (const char *name : {"a", "b"}) {
			struct route *route = manifest_add_route(m);

			mem_copy_str(route->name, name, sizeof(route->name));
			route->objective_ppm = 990000;
		}
	}
	~BurnReport() override
	{
		burn_report_done(&r);
		manifest_delete(m);
	}

	void add(const char *text)
	{
		json_t *page = json_loads(text, 0, nullptr);

		burn_report_add(&r, m, page);
		json_decref(page);
	}

	std::string rows()
	{
		struct burn_row *row;
		std::string all;

		list_for_each_entry(row, &r.rows, link)
			all += std::string(row->route) + "/" +
			       row->organisation + " ";
		return all;
	}

	const struct burn_row *first()
	{
		return list_entry(r.rows.next, struct burn_row, link);
	}

	struct manifest *m;
	struct burn_report r;
};

} // namespace

TEST_F(BurnReport, SumsTheCountsOfAllNodes)
{
	const char *page =
		"{\"series\":[{\"route\":\"a\",\"organisation\":\"o\","
		"\"windows\":{\"3d\":{\"good\":990,\"bad\":10},"
		"\"5m\":{\"good\":1,\"bad\":1}},\"history\":[[3,4],[1,0]]}]}";

	add(page);
	add(page);
	EXPECT_EQ(rows(), "a/o ");
	EXPECT_EQ(first()->windows[BURN_3_D].good, 1980u);
	EXPECT_EQ(first()->windows[BURN_5_MIN].bad, 2u);
	EXPECT_EQ(first()->history[0].bad, 8u);
	EXPECT_NEAR(burn_row_budget_left(first()), 0, 1e-9);
	EXPECT_EQ(r.nodes_asked, 2u);
}

TEST_F(BurnReport, SortsRowsAndOmitsRoutesNotInTheManifest)
{
	add("{\"series\":[{\"route\":\"b\",\"organisation\":\"\"},"
	    "{\"route\":\"a\",\"organisation\":\"z\"},"
	    "{\"route\":\"gone\",\"organisation\":\"\"},"
	    "{\"route\":\"a\",\"organisation\":\"\"},"
	    "{\"route\":\"b\",\"organisation\":\"c\"}]}");
	EXPECT_EQ(rows(), "a/ a/z b/ b/c ");
}

TEST_F(BurnReport, InvalidPagesAndMissingAnswersAddNothing)
{
	add("not json");
	add("[]");
	add("{\"series\":3}");
	add("{\"series\":[{\"route\":3},{\"route\":\"a\"},7,null]}");
	add("{\"series\":[{\"route\":\"a\",\"organisation\":\"o\","
	    "\"windows\":[1],\"history\":{\"x\":1}}]}");
	EXPECT_EQ(r.nodes_asked, 5u);
	EXPECT_EQ(r.nodes_answered, 4u);
	EXPECT_EQ(rows(), "a/o ");
	EXPECT_EQ(first()->windows[BURN_3_D].good, 0u);
}

TEST_F(BurnReport, TheHtmlPageEscapesNames)
{
	char *text = nullptr;
	size_t len = 0;

	add("{\"series\":[{\"route\":\"a\",\"organisation\":\"<b>&\\\"\"}]}");
	FILE *out = open_memstream(&text, &len);
	burn_html_write(out, &r);
	fclose(out);
	EXPECT_NE(strstr(text, "a / &lt;b&gt;&amp;&quot;"), nullptr);
	EXPECT_EQ(strstr(text, "<b>"), nullptr);
	free(text);
}
