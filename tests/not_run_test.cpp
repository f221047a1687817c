#include "jd_test.hpp"

extern "C" {
#include "core/dispatch.h"
#include "core/load/not_run.h"
#include "core/mem.h"
#include "core/mesh.h"
}

static char any_host[] = "h";

/* A node n0 that is entry and gate; its upstream has one slot. */
struct NotRunTest : public ::testing::Test {
	struct mesh_opts opts = {};
	struct mesh_ctx c = {};
	struct mesh_actions out;
	struct gatekeeper gate;
	struct holder holder;
	struct dispatch d;
	struct local_gate local;
	struct reply {
		int code;
		uint64_t retry_after_ns;
	};
	std::vector<struct reply> replies;
	std::vector<struct msg_forward> forwards; /* without their requests */
	uint64_t forwarded_to = 0;

	NotRunTest()
	{
		struct manifest *m = manifest_new();
		struct route *r = manifest_add_route(m);

		mem_copy_str(opts.node, "n0", sizeof(opts.node));
		mem_copy_str(opts.region, "r0", sizeof(opts.region));
		mem_copy_str(opts.service, "intake", sizeof(opts.service));
		opts.boot = 1;
		opts.announce_interval_ns = NS_PER_S;
		opts.hold_max_ns = 10 * NS_PER_S;
		opts.retry_window_ns = 10 * NS_PER_S;
		mesh_actions_init(&out);
		c.opts = &opts;
		c.out = &out;
		c.now_ns = 100 * NS_PER_S;
		c.manifest_checked_ns = c.now_ns;
		directory_init(&c.dir, "r0");
		rng_init(&c.rng, 1);
		mem_copy_str(r->name, "orders", sizeof(r->name));
		mem_copy_str(r->service, "intake", sizeof(r->service));
		route_set_path(r, "/");
		r->timeout_ms = 4000;
		r->objective_ms = 4000;
		r->max_attempts = 2;
		mem_copy_str(manifest_add_service(m)->name, "intake",
			     JD_NAME_MAX);
		m->version = 1;
		c.dir.manifest = m;
		gatekeeper_init(&gate);
		holder_init(&holder, &opts, c.now_ns);
		holder.known = true;
		holder.slots = 1;
		holder.heard_ns = c.now_ns;
		dispatch_init(&d);
		local = {&gate, &holder};
	}
	~NotRunTest() override
	{
		dispatch_done(&d);
		gatekeeper_done(&gate);
		holder_done(&holder);
		directory_done(&c.dir);
		mesh_actions_done(&out);
	}
	struct dir_node *add_gate(const char *name, uint64_t boot)
	{
		struct record *r = record_new(RECORD_CARD, name);
		struct list records;
		struct dir_node *n;

		list_init(&records);
		list_push_back(&records, &r->link);
		r->revision = boot;
		mem_copy_str(r->u.card.region, "r0", sizeof(r->u.card.region));
		mem_copy_str(r->u.card.service, "intake",
			     sizeof(r->u.card.service));
		mem_copy_str(r->u.card.upstream.instance, "i",
			     sizeof(r->u.card.upstream.instance));
		r->u.card.boot = boot;
		r->u.card.slots = 10;
		directory_apply(&c.dir, &records, false, boot, c.now_ns, &out);
		records_delete(&records);
		n = directory_node(&c.dir, name);
		n->heard_ns = c.now_ns;
		n->load.open = true;
		n->load.limit = 10;
		n->load.service_ns = 200 * NS_PER_MS;
		return n;
	}
	void take_actions()
	{
		struct mesh_action *a;

		while ((a = mesh_actions_pop(&out))) {
			if (a->kind == MA_REPLY)
				replies.push_back({a->u.reply.code,
						   a->u.reply.retry_after_ns});
			if (a->kind == MA_SEND &&
			    a->u.send.message->kind == MSG_FORWARD) {
				forwards.push_back(
					a->u.send.message->u.forward);
				forwarded_to = a->u.send.message->to;
			}
			mesh_action_delete(a);
		}
	}
	void request()
	{
		struct caller_request r = {};

		r.caller = ++d.requests;
		r.host = any_host;
		r.request = http_request_new("POST", "/x");
		dispatch_on_request(&d, &c, &local, &r);
		http_request_unref(r.request);
		gatekeeper_work(&gate, &c, &holder);
		take_actions();
	}
};

/*
 * Guards against a 504 for a request that its own node's gate has never
 * started. One of the two runs, the other waits.
 */
TEST_F(NotRunTest, AnAttemptThatWaitsAtTheOwnGateHasNotRun)
{
	add_gate("n0", 1);
	request();
	request();
	ASSERT_EQ(gate.running_count, 1u);
	ASSERT_EQ(gate.waiting_count, 1u);
	c.now_ns += 4 * NS_PER_S;
	dispatch_work(&d, &c, &local);
	take_actions();
	ASSERT_EQ(replies.size(), 2u);
	EXPECT_EQ(replies[0].code + replies[1].code, 503 + 504);
	for (const struct reply &r : replies)
		EXPECT_EQ(r.retry_after_ns > 0, r.code == 503);
}

/* The same when the process ends. */
TEST_F(NotRunTest, AStopTellsWhichAttemptsHaveNotRun)
{
	add_gate("n0", 1);
	request();
	request();
	dispatch_end_all(&d, &c, &local, true);
	take_actions();
	ASSERT_EQ(replies.size(), 2u);
	EXPECT_EQ(replies[0].code + replies[1].code, 503 + 504);
}

/*
 * Guards against requests that end with a 502 after processes were killed: they
 * were sent to the former process of an address at which the next one listens.
 * The request moves to another gate without a part of the retry budget.
 */
TEST_F(NotRunTest, AForwardToAFormerProcessMovesToAnotherGate)
{
	struct dir_node *n1 = add_gate("n1", 2);
	uint64_t heard_ns = n1->heard_ns;
	struct message *m = message_new(MSG_FORWARD);
	struct message *answer = nullptr;
	struct mesh_action *a;

	request();
	ASSERT_EQ(forwards.size(), 1u);
	ASSERT_EQ(forwarded_to, 2u);
	add_gate("n2", 3);
	c.now_ns += 10 * NS_PER_MS;
	/* At the next process of n1. */
	m->from = 1;
	m->to = 2;
	m->u.forward.id = forwards[0].id;
	m->u.forward.attempt = forwards[0].attempt;
	mem_copy_str(m->u.forward.reply_to, "n0", JD_ADDR_MAX);
	not_run_tell_sender(&c, m);
	message_delete(m);
	while ((a = mesh_actions_pop(&out))) {
		if (a->kind == MA_SEND) {
			EXPECT_STREQ(a->u.send.addr, "n0");
			answer = a->u.send.message;
			a->u.send.message = nullptr;
		}
		mesh_action_delete(a);
	}
	ASSERT_NE(answer, nullptr);
	EXPECT_EQ(answer->to, 1u);
	dispatch_on_answer(&d, &c, &local, answer->from, &answer->u.answer);
	message_delete(answer);
	take_actions();
	EXPECT_TRUE(replies.empty());
	EXPECT_EQ(forwarded_to, 3u);
	EXPECT_EQ(d.retries.allowed, 0u);
	EXPECT_EQ(n1->heard_ns, heard_ns) << "the gate itself sent nothing";
	EXPECT_FALSE(n1->load.open);
}

/* Each process answers forwards for the one before it, and does not run them.
 */
TEST(NotRun, AProcessAnswersForwardsToTheFormerOne)
{
	struct mesh_opts opts = {};
	struct mesh_actions actions;
	struct mesh_event ev = {};
	struct mesh_action *a;
	struct mesh *mesh;
	int answers = 0;

	mem_copy_str(opts.node, "n1", sizeof(opts.node));
	opts.boot = 5;
	opts.lease_ns = 6 * NS_PER_S;
	opts.announce_interval_ns = NS_PER_S;
	mesh = mesh_new(&opts, 100 * NS_PER_S);
	mesh_actions_init(&actions);
	ev.kind = ME_MESSAGE;
	ev.now_ns = 100 * NS_PER_S;
	ev.u.message = message_new(MSG_FORWARD);
	ev.u.message->from = 1;
	ev.u.message->to = 4;
	ev.u.message->u.forward.id.counter = 9;
	ev.u.message->u.forward.attempt = 3;
	mem_copy_str(ev.u.message->u.forward.reply_to, "n0", JD_ADDR_MAX);
	ev.u.message->u.forward.request = http_request_new("POST", "/");
	mesh_handle(mesh, &ev, &actions);
	while ((a = mesh_actions_pop(&actions))) {
		EXPECT_NE(a->kind, MA_UPSTREAM_CALL);
		if (a->kind == MA_SEND &&
		    a->u.send.message->kind == MSG_ANSWER) {
			const struct message *m = a->u.send.message;

			answers++;
			EXPECT_EQ(m->from, 4u);
			EXPECT_EQ(m->to, 1u);
			EXPECT_EQ(m->u.answer.id.counter, 9u);
			EXPECT_EQ(m->u.answer.attempt, 3u);
			EXPECT_EQ(m->u.answer.outcome, OUTCOME_NOT_RUN);
		}
		mesh_action_delete(a);
	}
	EXPECT_EQ(answers, 1);
	mesh_delete(mesh);
}
