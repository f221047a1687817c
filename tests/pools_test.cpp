#include "jd_test.hpp"

#include <map>

extern "C" {
#include "core/mem.h"
#include "core/node.h"
}

static const uint64_t START_NS = 10 * NS_PER_S;

// A node without an upstream; other nodes serve the route "live".
class Pools : public ::testing::Test
{
protected:
	void SetUp() override
	{
		struct node_opts o = {};

		mem_copy_str(o.name, "self", sizeof(o.name));
		mem_copy_str(o.dc, "dc-a", sizeof(o.dc));
		mem_copy_str(o.region, "a", sizeof(o.region));
		o.timing = timing_default;
		o.seed = 5;
		n = node_new(&o);
		n->membership.state = MEMBERSHIP_IN;
		n->membership.heard_ns = START_NS;
		actions_init(&out);
		apply_manifest();
	}

	void TearDown() override
	{
		actions_done(&out);
		node_delete(n);
	}

	void apply_manifest()
	{
		struct doc *d = doc_new(DOC_MANIFEST, "");
		struct route *r;
		struct organisation *org;

		d->revision = ++revision;
		d->u.manifest = manifest_new();
		r = manifest_add_route(d->u.manifest);
		mem_copy_str(r->name, "live", sizeof(r->name));
		mem_copy_str(r->service, "live", sizeof(r->service));
		route_set_path(r, "/live");
		r->kind = ROUTE_ANY;
		org = manifest_add_organisation(d->u.manifest);
		mem_copy_str(org->name, "only-a", sizeof(org->name));
		org->home_regions.count = 1;
		mem_copy_str(org->home_regions.names[0], "a", JD_NAME_MAX);
		sync(d);
	}

	void apply_roster(const char *dc, const char *region,
			  std::initializer_list<incarnation_t> members)
	{
		struct doc *d = doc_new(DOC_ROSTER, dc);

		d->revision = ++revision;
		d->u.roster = roster_new(dc, region);
		for (incarnation_t inc : members) {
			struct member *m = roster_add(
				d->u.roster, std::to_string(inc).c_str(), inc);

			mem_copy_str(m->service, "live", sizeof(m->service));
			mem_copy_str(m->peer_addr, m->name,
				     sizeof(m->peer_addr));
		}
		sync(d);
	}

	void sync(struct doc *d)
	{
		struct list docs;

		list_init(&docs);
		list_push_back(&docs, &d->link);
		view_sync(&n->ctx.view, revision - 1, revision, &docs);
	}

	void handle(struct event *ev)
	{
		now_ns += NS_PER_MS / 10;
		ev->now_ns = now_ns;
		node_handle(n, ev, &out);
	}

	void send_request(const char *organisation = nullptr)
	{
		struct event ev = {};

		ev.kind = EV_REQUEST;
		ev.u.request.caller = ++caller;
		ev.u.request.request = http_request_new("POST", "/live/x");
		if (organisation)
			payload_add_header(&ev.u.request.request->payload,
					   "X-Jackdaw-Organisation",
					   organisation);
		handle(&ev);
	}

	/** Answers each forward with queue_full; returns their number. */
	int refuse_all()
	{
		struct action *a;
		int forwards = 0;

		while ((a = actions_pop(&out))) {
			if (a->kind == ACT_REPLY) {
				replies[a->u.reply.refusal]++;
			} else if (a->kind == ACT_SEND &&
				   a->u.send.message->kind == MSG_FORWARD) {
				forwards++;
				refuse(a->u.send.message);
			}
			action_delete(a);
		}
		return forwards;
	}

	void refuse(const struct message *forward)
	{
		struct event ev = {};
		struct message *m = message_new(MSG_ANSWER);

		sent[forward->to]++;
		m->from = forward->to;
		m->to = forward->from;
		m->u.answer.id = forward->u.forward.id;
		m->u.answer.attempt = forward->u.forward.attempt;
		m->u.answer.outcome = OUTCOME_NOT_RUN;
		m->u.answer.refusal = REFUSAL_QUEUE_FULL;
		ev.kind = EV_MESSAGE;
		ev.u.message = m;
		handle(&ev);
	}

	struct node *n;
	struct actions out;
	uint64_t now_ns = START_NS;
	uint64_t caller = 0;
	revision_t revision = 0;
	std::map<incarnation_t, int> sent;
	std::map<int, int> replies;
};

TEST_F(Pools, ARefusedRequestGoesToAnotherEndpointAtOnce)
{
	apply_roster("dc-a", "a", {1, 2});
	send_request();
	EXPECT_EQ(refuse_all(), 2);
	EXPECT_EQ(sent[1], 1);
	EXPECT_EQ(sent[2], 1);
}

TEST_F(Pools, RetriesDoNotAmplifyAnOverload)
{
	int forwards = 0;

	apply_roster("dc-a", "a", {1, 2, 3});
	for (int i = 0; i < 2000; i++) {
		send_request();
		forwards += refuse_all();
	}
	/* A tenth for retries, the maximal balance, and the free retries. */
	EXPECT_LE(forwards, 2000 + 200 + 20 + 10);
	EXPECT_GT(replies[REFUSAL_QUEUE_FULL], 1900);
}

TEST_F(Pools, TheLocalDataCentreIsPreferred)
{
	apply_roster("dc-b", "a", {2});
	apply_roster("dc-c", "c", {3});
	apply_roster("dc-a", "a", {1});
	send_request();
	refuse_all();
	EXPECT_EQ(sent[1], 1);
	EXPECT_EQ(sent[2], 1);
	EXPECT_EQ(sent[3], 0);
}

TEST_F(Pools, AnOrganisationIsServedOnlyInItsHomeRegions)
{
	apply_roster("dc-a", "a", {1});
	apply_roster("dc-c", "c", {3});
	for (int i = 0; i < 200; i++) {
		send_request(i % 2 ? "only-a" : nullptr);
		refuse_all();
		if (i % 2) {
			EXPECT_GT(sent[1], 0);
			EXPECT_EQ(sent[3], 0);
		}
		sent.clear();
	}
}

TEST_F(Pools, EndpointsFollowTheRoster)
{
	apply_roster("dc-a", "a", {1});
	send_request();
	refuse_all();
	EXPECT_GT(sent[1], 0);
	sent.clear();
	apply_roster("dc-a", "a", {2});
	send_request();
	refuse_all();
	EXPECT_EQ(sent[1], 0);
	EXPECT_GT(sent[2], 0);
}
