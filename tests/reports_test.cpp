#include "jd_test.hpp"

#include <string>

extern "C" {
#include "core/mem.h"
#include "core/reports.h"
#include "wire/codec.h"
#include "wire/compress.h"
}

/* Reports of node "n0" to others, which add() puts into a region. */
struct ReportsTest : public ::testing::Test {
	struct mesh_opts opts = {};
	struct mesh_ctx c = {};
	struct mesh_actions out;
	struct gatekeeper gate;
	struct holder holder;
	struct reports reports = {};
	struct report_inputs state = {};
	uint64_t now = NS_PER_S;

	ReportsTest()
	{
		mem_copy_str(opts.node, "n0", sizeof(opts.node));
		opts.boot = 1;
		c.opts = &opts;
		c.out = &out;
		mesh_actions_init(&out);
		directory_init(&c.dir, "r0");
		c.dir.loaded = true;
		gatekeeper_init(&gate);
		holder_init(&holder, &opts, now);
		state.gate = &gate;
		state.holder = &holder;
	}
	~ReportsTest() override
	{
		gatekeeper_done(&gate);
		holder_done(&holder);
		directory_done(&c.dir);
		mesh_actions_done(&out);
	}
	struct dir_node *add(int i, int region)
	{
		struct list records;
		struct record *r = record_new(
			RECORD_CARD, ("n" + std::to_string(i)).c_str());

		list_init(&records);
		list_push_back(&records, &r->link);
		r->revision = static_cast<uint64_t>(i) + 1;
		mem_copy_str(r->u.card.node, r->name, sizeof(r->u.card.node));
		mem_copy_str(r->u.card.region,
			     ("r" + std::to_string(region)).c_str(),
			     sizeof(r->u.card.region));
		mem_copy_str(r->u.card.peer_addr, "10.0.0.1:1",
			     sizeof(r->u.card.peer_addr));
		r->u.card.boot = static_cast<uint64_t>(i) + 1;
		directory_apply(&c.dir, &records, false, r->revision, now,
				&out);
		records_delete(&records);
		return directory_node(&c.dir,
				      ("n" + std::to_string(i)).c_str());
	}
	/* Advances the clock to @until_ns; returns the count of reports. */
	uint64_t run(uint64_t until_ns)
	{
		uint64_t before = reports.sent;

		for (; now < until_ns; now += 10 * NS_PER_MS) {
			c.now_ns = now;
			reports_work(&reports, &c, &state);
		}
		return reports.sent - before;
	}
	/* Removes all actions; returns how many were messages to @boot. */
	uint64_t pop_sent_to(uint64_t boot)
	{
		struct mesh_action *a;
		uint64_t n = 0;

		while ((a = mesh_actions_pop(&out))) {
			n += a->kind == MA_SEND &&
			     a->u.send.message->to == boot;
			mesh_action_delete(a);
		}
		return n;
	}
};

/* A node may use 3 KB/s for control traffic, most of which is reports. */
TEST_F(ReportsTest, ReportsOfALargeFleetFitTheTrafficBudget)
{
	const uint64_t seconds = 20;
	struct mesh_action *a;
	uint64_t bytes = 0;

	for (int i = 1; i < 87; i++)
		add(i, i % 3);
	run(30 * NS_PER_S);
	pop_sent_to(0);
	run((30 + seconds) * NS_PER_S);
	while ((a = mesh_actions_pop(&out))) {
		if (a->kind == MA_SEND) {
			struct wire_buf b;

			wire_encode_message(a->u.send.message, &b);
			wire_compress(&b);
			bytes += b.len;
			free(b.data);
		}
		mesh_action_delete(a);
	}
	EXPECT_LE(bytes, seconds * 3000);
}

TEST_F(ReportsTest, ANodeThatGetsAnswersGetsNoReports)
{
	struct dir_node *busy = add(1, 0);

	add(2, 0);
	run(5 * NS_PER_S);
	pop_sent_to(0);
	for (int i = 0; i < 20; i++) {
		busy->load_sent_ns = now;
		run(now + 50 * NS_PER_MS);
	}
	EXPECT_EQ(pop_sent_to(busy->boot), 0u);
	EXPECT_GT(run(now + NS_PER_S), 0u);
}

TEST_F(ReportsTest, OtherRegionsGetFewerReports)
{
	struct dir_node *near = add(1, 0);
	struct dir_node *far = add(2, 1);
	uint64_t far_sent, near_sent;

	run(10 * NS_PER_S);
	pop_sent_to(0);
	run(20 * NS_PER_S);
	far_sent = 0;
	near_sent = 0;
	for (struct mesh_action *a; (a = mesh_actions_pop(&out));) {
		if (a->kind == MA_SEND) {
			far_sent += a->u.send.message->to == far->boot;
			near_sent += a->u.send.message->to == near->boot;
		}
		mesh_action_delete(a);
	}
	EXPECT_GT(far_sent, 0u);
	EXPECT_LE(far_sent * 2, near_sent + 1);
}

TEST_F(ReportsTest, ASilentNodeIsProbedAndAProbeIsAnsweredAtOnce)
{
	struct dir_node *silent = add(1, 1);
	struct dir_node *probing = add(2, 1);

	run(10 * NS_PER_S);
	pop_sent_to(0);
	silent->probe_due = true;
	c.dir.urgent_reports = true;
	probing->reply_due = true;
	run(now + 10 * NS_PER_MS);
	EXPECT_EQ(silent->probed_ns, now - 10 * NS_PER_MS);
	EXPECT_EQ(pop_sent_to(probing->boot), 1u);
}

TEST_F(ReportsTest, AClosingGateIsReportedToAllNodesAtOnce)
{
	for (int i = 1; i < 40; i++)
		add(i, i % 3);
	holder.known = true;
	opts.announce_interval_ns = NS_PER_S;
	holder.heard_ns = 12 * NS_PER_S;
	run(12 * NS_PER_S);
	holder.draining = true;
	EXPECT_GE(run(now + 10 * NS_PER_MS), 39u);
}
