#include "jd_test.hpp"

extern "C" {
#include "core/mem.h"
#include "core/mesh.h"
#include "platform/platform_metrics.h"
}

/* A node without a manifest. */
struct PlatformMetricsTest : public ::testing::Test {
	struct mesh *m;

	PlatformMetricsTest()
	{
		struct mesh_opts o = {};

		o.boot = 1;
		o.seed = 1;
		o.announce_interval_ns = NS_PER_S;
		m = mesh_new(&o, NS_PER_S);
	}
	~PlatformMetricsTest() override
	{
		mesh_delete(m);
	}
	struct http_server_stats callers = {};
	std::string page()
	{
		struct peers_stats peers = {};
		char *text = platform_metrics_page(m, &callers, 0, 0, &peers);
		std::string s = text;

		free(text);
		return s;
	}
	void send_request()
	{
		struct mesh_event ev = {};
		struct mesh_actions out;
		struct mesh_action *a;

		mesh_actions_init(&out);
		ev.kind = ME_REQUEST;
		ev.now_ns = 2 * NS_PER_S;
		ev.u.request.caller = 1;
		ev.u.request.host = (char *)mem_dup("h", 1);
		ev.u.request.request = http_request_new("GET", "/");
		mesh_handle(m, &ev, &out);
		while ((a = mesh_actions_pop(&out)))
			mesh_action_delete(a);
		mesh_actions_done(&out);
	}
};

/* Guards against refusals whose reason no counter shows. */
TEST_F(PlatformMetricsTest, RefusalsAreCountedByReason)
{
	EXPECT_NE(page().find("jackdaw_refused_total{why=\"no_route\"} 0\n"),
		  std::string::npos);
	send_request();
	EXPECT_NE(page().find("jackdaw_refused_total{why=\"no_manifest\"} 1\n"),
		  std::string::npos);
	EXPECT_NE(page().find("jackdaw_refused_total{why=\"no_route\"} 0\n"),
		  std::string::npos);
}

/* Guards against 400 and 431 of the caller's server that nothing counts. */
TEST_F(PlatformMetricsTest, RejectionsBeforeRoutingAreCountedByReason)
{
	callers.rejected[HTTP_REJECT_HEADER_LIMIT] = 3;
	EXPECT_NE(
		page().find("jackdaw_rejected_total{why=\"header_limit\"} 3\n"),
		std::string::npos);
	EXPECT_NE(page().find("jackdaw_rejected_total{why=\"syntax\"} 0\n"),
		  std::string::npos);
}

/* Guards against a node on an old configuration that no metric shows. */
TEST_F(PlatformMetricsTest, TheConfigurationInForceAndTheNewestKnownAreShown)
{
	m->ctx.dir.manifest_revision = 31;
	m->ctx.dir.manifest_wanted = 32;
	EXPECT_NE(page().find("jackdaw_config_revision 31\n"),
		  std::string::npos);
	EXPECT_NE(page().find("jackdaw_config_wanted_revision 32\n"),
		  std::string::npos);
}

/* A revision is shown as the store's number, its era beside it. */
TEST_F(PlatformMetricsTest, TheStoresEraIsShownBesideBareRevisions)
{
	m->ctx.dir.revision = revision_make(3, 40);
	m->ctx.dir.manifest_revision = revision_make(2, 31);
	for (const char *line :
	     {"jackdaw_store_era 3\n", "jackdaw_revision 40\n",
	      "jackdaw_config_revision 31\n"})
		EXPECT_NE(page().find(line), std::string::npos) << line;
}

/* Guards against one upstream with all keys that no metric shows. */
TEST_F(PlatformMetricsTest, TheSpreadOfKeysIsShownForEachService)
{
	struct keyplan_service *s = mem_new(struct keyplan_service);

	mem_copy_str(s->service, "archive", sizeof(s->service));
	s->spread.candidates = 76;
	s->spread.without_keys = 75;
	s->spread.busiest_over_mean = 76;
	list_push_back(&m->keyplan.services, &s->link);
	EXPECT_NE(page().find("jackdaw_keys_busiest_over_mean{service="
			      "\"archive\"} 76.000\n"),
		  std::string::npos);
	EXPECT_NE(page().find("jackdaw_keys_upstreams_without{service="
			      "\"archive\"} 75\n"),
		  std::string::npos);
}
