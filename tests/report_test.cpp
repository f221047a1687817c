#include "jd_test.hpp"

#include <fstream>
#include <sstream>

#include "process.hpp"

extern "C" {
#include "cli/exit_code.h"
}

namespace
{

class Report : public testing::Test
{
protected:
	Report() : n1("b1", "south-1", "hu-south", store.addr())
	{
	}

	void SetUp() override
	{
		std::string path = jd::binary(
			"report_test." + std::to_string(getpid()) + ".toml");

		std::ofstream(path)
			<< "[[data_centre]]\nname = \"south-1\"\n"
			   "region = \"hu-south\"\n"
			   "[[organisation]]\nname = \"museums\"\n"
			   "[[route]]\nname = \"fast\"\nservice = \"archive\"\n"
			   "path = \"/fast/\"\nkind = \"any\"\n"
			   "objective_ms = 2000\nobjective_ppm = 990000\n"
			   "[[route]]\nname = \"none\"\nservice = \"other\"\n"
			   "path = \"/none/\"\nkind = \"any\"\n"
			   "timeout_ms = 100\nobjective_ppm = 990000\n";
		ASSERT_EQ(store.jackdaw("apply " + path).code, CLI_OK);
		ASSERT_TRUE(jd::eventually([&] { return n1.serves(); }));
	}

	void get(const std::string &path, const std::string &header = "X-A: b")
	{
		jd::run("curl -s -m 5 -H '" + header + "' http://" +
			jd::loopback(n1.http) + path);
	}

	jd::Store store;
	jd::Node n1;
};

} // namespace

TEST_F(Report, BurnCountsGoodAndBadByRouteAndOrganisation)
{
	for (int i = 0; i < 3; i++)
		get("/fast/1", "X-Jackdaw-Organisation: museums");
	for (int i = 0; i < 2; i++)
		get("/fast/1");
	get("/fast/1", "X-Jackdaw-Organisation: made-up");
	for (int i = 0; i < 4; i++)
		get("/none/1");
	get("/nowhere");
	jd::Result r = store.jackdaw("--json report burn");
	EXPECT_EQ(r.code, CLI_OK);
	std::string page = n1.page("burn");
	EXPECT_NE(page.find("\"route\":\"fast\",\"organisation\":\"museums\","
			    "\"windows\":{\"5m\":{\"good\":3,\"bad\":0}"),
		  std::string::npos)
		<< page;
	EXPECT_NE(page.find("\"route\":\"fast\",\"organisation\":\"\","
			    "\"windows\":{\"5m\":{\"good\":2,\"bad\":0}"),
		  std::string::npos)
		<< page;
	EXPECT_NE(page.find("\"route\":\"none\",\"organisation\":\"\","
			    "\"windows\":{\"5m\":{\"good\":0,\"bad\":4}"),
		  std::string::npos)
		<< page;
	EXPECT_EQ(page.find("nowhere"), std::string::npos);
	EXPECT_NE(r.out.find("\"burn_rate\": 100.0"), std::string::npos)
		<< r.out;
	r = store.jackdaw("report burn");
	EXPECT_NE(r.out.find("fast             museums           99.0000%   "
			     "2000 ms          3        0"),
		  std::string::npos)
		<< r.out;
}

TEST_F(Report, TheHtmlPageIsSelfContained)
{
	std::string path =
		jd::binary("report_test." + std::to_string(getpid()) + ".html");
	std::stringstream text;

	get("/none/1");
	EXPECT_EQ(store.jackdaw("--html " + path + " report burn").code,
		  CLI_OK);
	text << std::ifstream(path).rdbuf();
	EXPECT_NE(text.str().find("<svg"), std::string::npos);
	EXPECT_NE(text.str().find("none / -"), std::string::npos);
	for (const char *outside : {"http", "src=", "href=", "@import"})
		EXPECT_EQ(text.str().find(outside), std::string::npos);
	EXPECT_EQ(store.jackdaw("--html /nowhere/x report burn").code,
		  CLI_FAILED);
}

TEST_F(Report, EachMetricHasHelpAndType)
{
	std::stringstream page(n1.page("metrics"));
	std::string line;
	int rows = 0;

	while (std::getline(page, line)) {
		std::string type, value;

		ASSERT_EQ(line.rfind("# HELP jackdaw_", 0), 0u) << line;
		std::string name = line.substr(7, line.find(' ', 7) - 7);
		ASSERT_TRUE(std::getline(page, type));
		EXPECT_EQ(type, "# TYPE " + name +
					(name.rfind("_total") == name.size() - 6
						 ? " counter"
						 : " gauge"));
		do {
			ASSERT_TRUE(std::getline(page, value));
			EXPECT_EQ(value.rfind(name, 0), 0u) << value;
			EXPECT_EQ(value.find_first_of(" {"), name.size());
			rows++;
		} while (page.peek() != '#' && page.peek() != EOF);
	}
	EXPECT_GT(rows, 15);
}
