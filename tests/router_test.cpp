#include "jd_test.hpp"

#include <vector>

extern "C" {
#include "core/invariant.h"
#include "core/mem.h"
#include "core/node.h"
#include "core/text.h"
#include "fakes/request_sim.h"
}

static const incarnation_t OTHER = 77;
static const uint64_t START_NS = 10 * NS_PER_S;
static const uint64_t TIMEOUT_MS = 1000;

static void to_stderr(const char *line)
{
	fprintf(stderr, "%s\n", line);
}

// A node "self" in region a whose view has another node, OTHER, in region b.
class Router : public ::testing::Test
{
protected:
	void SetUp() override
	{
		struct node_opts o = {};

		mem_copy_str(o.name, "self", sizeof(o.name));
		mem_copy_str(o.dc, "dc-a", sizeof(o.dc));
		mem_copy_str(o.region, "a", sizeof(o.region));
		mem_copy_str(o.peer_addr, "self", sizeof(o.peer_addr));
		o.timing = timing_default;
		o.seed = 5;
		n = node_new(&o);
		n->membership.state = MEMBERSHIP_IN;
		n->membership.heard_ns = START_NS;
		lease_confirm(&n->membership.lease, START_NS, 3600 * NS_PER_S);
		actions_init(&out);
		apply_manifest();
		apply_roster("dc-a", "a", "self", n->ctx.self);
		apply_roster("dc-b", "b", "other", OTHER);
		announce();
	}

	void TearDown() override
	{
		actions_done(&out);
		node_delete(n);
	}

	// Adds @d, the newest document, to the view of the node.
	void apply_doc(struct doc *d)
	{
		struct list docs;

		list_init(&docs);
		list_push_back(&docs, &d->link);
		view_sync(&n->ctx.view, d->revision - 1, d->revision, &docs);
	}

	static void add_region(struct region_set *set, const char *region)
	{
		mem_copy_str(set->names[set->count++], region, JD_NAME_MAX);
	}

	struct route *add_route(struct manifest *m, const char *name,
				enum route_kind kind)
	{
		struct route *r = manifest_add_route(m);

		mem_copy_str(r->name, name, sizeof(r->name));
		mem_copy_str(r->service, "svc", sizeof(r->service));
		route_set_path(r, ("/" + std::string(name) + "/").c_str());
		r->kind = kind;
		r->key.source = KEY_PATH;
		r->key.segment = 1;
		r->shards = 1;
		r->timeout_ms = TIMEOUT_MS;
		r->max_body_bytes = 1000;
		return r;
	}

	void apply_manifest()
	{
		struct doc *d = doc_new(DOC_MANIFEST, "");
		struct organisation *o;

		d->revision = ++revision;
		d->u.manifest = manifest_new();
		add_route(d->u.manifest, "keyed", ROUTE_KEYED);
		add_region(&add_route(d->u.manifest, "home-b", ROUTE_ANY)
				    ->home_regions,
			   "b");
		add_region(&add_route(d->u.manifest, "home-a", ROUTE_KEYED)
				    ->home_regions,
			   "a");
		o = manifest_add_organisation(d->u.manifest);
		mem_copy_str(o->name, "org-a", sizeof(o->name));
		add_region(&o->home_regions, "a");
		o = manifest_add_organisation(d->u.manifest);
		mem_copy_str(o->name, "org-b", sizeof(o->name));
		add_region(&o->home_regions, "b");
		apply_doc(d);
	}

	void apply_roster(const char *dc, const char *region, const char *name,
			  incarnation_t inc)
	{
		struct doc *d = doc_new(DOC_ROSTER, dc);
		struct member *m;

		d->revision = ++revision;
		d->u.roster = roster_new(dc, region);
		if (inc) {
			m = roster_add(d->u.roster, name, inc);
			mem_copy_str(m->service, "svc", sizeof(m->service));
			mem_copy_str(m->peer_addr, name, sizeof(m->peer_addr));
			text_format(m->http_addr, sizeof(m->http_addr),
				    "http-%s", name);
			m->term = 1;
		}
		apply_doc(d);
	}

	void assign_owner(const char *route, incarnation_t owner)
	{
		struct doc *d = doc_new(DOC_MAP, route);
		const struct shard_map *old = view_map(&n->ctx.view, route);

		d->revision = ++revision;
		d->u.map = shard_map_new(route, 1);
		if (old)
			d->u.map->shards[0] = old->shards[0];
		shard_assign(&d->u.map->shards[0], owner);
		apply_doc(d);
	}

	void announce()
	{
		struct event ev = {};

		ev.kind = EV_ANNOUNCEMENT;
		mem_copy_str(ev.u.announce.service, "svc", JD_NAME_MAX);
		ev.u.announce.instance = 1;
		ev.u.announce.slots = 4;
		ev.u.announce.connections = 4;
		handle(&ev);
	}

	void handle(struct event *ev)
	{
		ev->now_ns = now_ns;
		node_handle(n, ev, &out);
	}

	void advance(uint64_t after_ns)
	{
		struct event ev = {};

		now_ns += after_ns;
		ev.kind = EV_TICK;
		handle(&ev);
	}

	// A request of caller 1; header may be NULL.
	void send_request(const char *method, const char *target,
			  const char *header = NULL, const char *value = NULL,
			  size_t body = 0)
	{
		std::string bytes(body, 'x');
		struct event ev = {};

		ev.kind = EV_REQUEST;
		ev.u.request.caller = 1;
		ev.u.request.request = http_request_new(method, target);
		if (header)
			payload_add_header(&ev.u.request.request->payload,
					   header, value);
		payload_set_body(&ev.u.request.request->payload, bytes.data(),
				 bytes.size());
		handle(&ev);
	}

	// Returns the next action of @kind and drops those before it.
	struct action *next_action(enum action_kind kind)
	{
		struct action *a;

		while ((a = actions_pop(&out))) {
			if (a->kind == kind)
				return a;
			action_delete(a);
		}
		return NULL;
	}

	struct action *next_message(enum message_kind kind)
	{
		struct action *a;

		while ((a = next_action(ACT_SEND))) {
			if (a->u.send.message->kind == kind)
				return a;
			action_delete(a);
		}
		return NULL;
	}

	// Expects that the next reply has @outcome and @refusal.
	void expect_reply(enum outcome outcome, enum refusal refusal)
	{
		struct action *a = next_action(ACT_REPLY);

		ASSERT_NE(a, nullptr);
		EXPECT_EQ(a->u.reply.caller, 1u);
		EXPECT_STREQ(outcome_name(a->u.reply.outcome),
			     outcome_name(outcome));
		EXPECT_STREQ(refusal_find(a->u.reply.refusal)->name,
			     refusal_find(refusal)->name);
		action_delete(a);
	}

	// The next forward, without its request; attempt 0 if there is none.
	struct msg_forward next_forward()
	{
		struct action *a = next_message(MSG_FORWARD);
		struct msg_forward f = {};

		if (!a)
			return f;
		f = a->u.send.message->u.forward;
		f.request = NULL;
		action_delete(a);
		return f;
	}

	void answer(const struct msg_forward &f, enum outcome outcome,
		    enum refusal refusal, incarnation_t from = OTHER)
	{
		struct event ev = {};
		struct message *m = message_new(MSG_ANSWER);

		m->from = from;
		m->to = n->ctx.boot;
		m->u.answer.id = f.id;
		m->u.answer.attempt = f.attempt;
		m->u.answer.outcome = outcome;
		m->u.answer.refusal = refusal;
		if (outcome == OUTCOME_DONE)
			m->u.answer.answer = http_answer_new(200);
		ev.kind = EV_MESSAGE;
		ev.u.message = m;
		handle(&ev);
	}

	// The gate receives a forward from OTHER.
	void receive_forward(uint64_t counter, uint64_t sequence,
			     const char *organisation = "",
			     const char *route = "keyed")
	{
		struct event ev = {};
		struct message *m = message_new(MSG_FORWARD);
		struct msg_forward *f = &m->u.forward;

		m->from = OTHER;
		m->to = n->ctx.self;
		f->id = {OTHER, counter};
		f->attempt = 1;
		f->sequence = sequence;
		f->time_left_ns = 100 * NS_PER_MS;
		mem_copy_str(f->reply_to, "other", sizeof(f->reply_to));
		mem_copy_str(f->route, route, sizeof(f->route));
		mem_copy_str(f->key, "k", sizeof(f->key));
		f->organisation = mem_dup_str(organisation);
		f->request = http_request_new("POST", "/keyed/k");
		ev.kind = EV_MESSAGE;
		ev.u.message = m;
		handle(&ev);
	}

	void complete_call(uint64_t call, size_t body = 0)
	{
		std::string bytes(body, 'x');
		struct event ev = {};

		ev.kind = EV_UPSTREAM_ANSWER;
		ev.u.upstream_answer.call = call;
		ev.u.upstream_answer.outcome = OUTCOME_DONE;
		ev.u.upstream_answer.answer = http_answer_new(200);
		payload_set_body(&ev.u.upstream_answer.answer->payload,
				 bytes.data(), bytes.size());
		handle(&ev);
	}

	struct node *n;
	struct actions out;
	uint64_t now_ns = START_NS;
	revision_t revision = 0;
};

TEST_F(Router, ALateAnswerOfAnEarlierAttemptIsDropped)
{
	assign_owner("keyed", OTHER);
	send_request("POST", "/keyed/k");
	struct msg_forward first = next_forward();
	ASSERT_EQ(first.attempt, 1u);
	answer(first, OUTCOME_NOT_RUN, REFUSAL_NOT_OWNER);
	advance(30 * NS_PER_MS);
	struct msg_forward second = next_forward();
	ASSERT_EQ(second.attempt, 2u);
	answer(first, OUTCOME_DONE, REFUSAL_NONE);
	EXPECT_EQ(next_action(ACT_REPLY), nullptr);
	EXPECT_EQ(n->router.unmatched, 1u);
	answer(second, OUTCOME_DONE, REFUSAL_NONE);
	expect_reply(OUTCOME_DONE, REFUSAL_NONE);
	answer(second, OUTCOME_DONE, REFUSAL_NONE);
	EXPECT_EQ(next_action(ACT_REPLY), nullptr);
	EXPECT_EQ(n->router.unmatched, 2u);
}

TEST_F(Router, AnAnswerFromTheWrongNodeIsDropped)
{
	assign_owner("keyed", OTHER);
	send_request("POST", "/keyed/k");
	struct msg_forward f = next_forward();
	answer(f, OUTCOME_DONE, REFUSAL_NONE, OTHER + 1);
	answer(f, OUTCOME_DONE, REFUSAL_NONE, 0);
	EXPECT_EQ(next_action(ACT_REPLY), nullptr);
	EXPECT_EQ(n->router.unmatched, 1u);
	EXPECT_EQ(n->refused_messages, 1u);
}

// A retry that ended as not_run once hid an earlier attempt that may have run.
TEST_F(Router, AnAnswerWithoutAStatusIsUnknown)
{
	assign_owner("keyed", OTHER);
	for (int code : {-1, 0, 99, 101, 600, 999}) {
		struct event ev = {};
		struct msg_forward f;

		send_request("POST", "/keyed/k");
		f = next_forward();
		ev.kind = EV_MESSAGE;
		ev.u.message = message_new(MSG_ANSWER);
		ev.u.message->from = OTHER;
		ev.u.message->to = n->ctx.boot;
		ev.u.message->u.answer.id = f.id;
		ev.u.message->u.answer.attempt = f.attempt;
		ev.u.message->u.answer.outcome = OUTCOME_DONE;
		if (code >= 0)
			ev.u.message->u.answer.answer = http_answer_new(code);
		handle(&ev);
		expect_reply(OUTCOME_UNKNOWN, REFUSAL_CONNECTION_LOST);
	}
}

TEST_F(Router, NotRunIsNotReportedAfterAnAttemptThatMayHaveRun)
{
	assign_owner("keyed", OTHER);
	send_request("PUT", "/keyed/k");
	answer(next_forward(), OUTCOME_UNKNOWN, REFUSAL_CONNECTION_LOST);
	advance(30 * NS_PER_MS);
	answer(next_forward(), OUTCOME_NOT_RUN, REFUSAL_QUEUE_FULL);
	expect_reply(OUTCOME_UNKNOWN, REFUSAL_QUEUE_FULL);
}

TEST_F(Router, AHeldRequestWhoseGateWasLostExpiresAsUnknown)
{
	assign_owner("keyed", OTHER);
	send_request("GET", "/keyed/k");
	ASSERT_EQ(next_forward().attempt, 1u);
	apply_roster("dc-b", "b", "other", 0);
	advance(100 * NS_PER_MS);
	advance(TIMEOUT_MS * NS_PER_MS);
	expect_reply(OUTCOME_UNKNOWN, REFUSAL_NO_OWNER);
}

TEST_F(Router, ANonIdempotentRequestIsNotSentAgainAfterUnknown)
{
	assign_owner("keyed", OTHER);
	send_request("POST", "/keyed/k");
	answer(next_forward(), OUTCOME_UNKNOWN, REFUSAL_CONNECTION_LOST);
	expect_reply(OUTCOME_UNKNOWN, REFUSAL_CONNECTION_LOST);
	advance(100 * NS_PER_MS);
	EXPECT_EQ(next_forward().attempt, 0u);
}

TEST_F(Router, NoAnswerUntilTheDeadlineIsUnknown)
{
	assign_owner("keyed", OTHER);
	send_request("POST", "/keyed/k");
	struct msg_forward f = next_forward();
	advance(TIMEOUT_MS * NS_PER_MS);
	expect_reply(OUTCOME_UNKNOWN, REFUSAL_NO_ANSWER);
	answer(f, OUTCOME_DONE, REFUSAL_NONE);
	EXPECT_EQ(next_action(ACT_REPLY), nullptr);
}

TEST_F(Router, AnAttemptEndsBeforeTheCallersDeadline)
{
	assign_owner("keyed", OTHER);
	send_request("POST", "/keyed/k");
	EXPECT_EQ(next_forward().time_left_ns, (TIMEOUT_MS - 20) * NS_PER_MS);
	send_request("POST", "/keyed/k", "X-Jackdaw-Deadline-Ms", "80");
	EXPECT_EQ(next_forward().time_left_ns, 70 * NS_PER_MS);
}

TEST_F(Router, AnAttemptAtAnUnreachablePeerIsRetried)
{
	assign_owner("keyed", OTHER);
	send_request("POST", "/keyed/k");
	answer(next_forward(), OUTCOME_NOT_RUN, REFUSAL_PEER_DOWN);
	advance(30 * NS_PER_MS);
	EXPECT_EQ(next_forward().attempt, 2u);
	advance(100 * NS_PER_MS);
}

TEST_F(Router, AHeldRequestPastItsDeadlineIsNotSent)
{
	send_request("POST", "/keyed/k");
	assign_owner("keyed", OTHER);
	advance(TIMEOUT_MS * NS_PER_MS + 1);
	expect_reply(OUTCOME_NOT_RUN, REFUSAL_NO_OWNER);
	EXPECT_EQ(n->router.count, 0u);
}

// The gate has freed the attempt by then; its anti-replay window remains.
TEST_F(Router, ARepeatedForwardLongAfterTheFirstDoesNotRun)
{
	assign_owner("keyed", n->ctx.self);
	receive_forward(1, 1);
	struct action *a = next_action(ACT_UPSTREAM_CALL);
	ASSERT_NE(a, nullptr);
	complete_call(a->u.call.call);
	action_delete(a);
	actions_done(&out);
	advance(60 * NS_PER_S);
	announce();
	receive_forward(1, 1);
	EXPECT_EQ(next_action(ACT_UPSTREAM_CALL), nullptr);
	EXPECT_EQ(next_message(MSG_ANSWER), nullptr);
	EXPECT_EQ(n->gate.doubled, 1u);
	receive_forward(2, 2);
	a = next_action(ACT_UPSTREAM_CALL);
	EXPECT_NE(a, nullptr);
	if (a)
		action_delete(a);
}

TEST_F(Router, AnAnswerAboveTheSizeLimitIsNotTruncated)
{
	assign_owner("keyed", n->ctx.self);
	for (size_t body : {HTTP_ANSWER_MAX_BYTES, HTTP_ANSWER_MAX_BYTES + 1}) {
		send_request("GET", "/keyed/k");
		struct action *a = next_action(ACT_UPSTREAM_CALL);
		ASSERT_NE(a, nullptr);
		complete_call(a->u.call.call, body);
		action_delete(a);
		if (body == HTTP_ANSWER_MAX_BYTES)
			expect_reply(OUTCOME_DONE, REFUSAL_NONE);
		else
			expect_reply(OUTCOME_UNKNOWN, REFUSAL_ANSWER_TOO_LARGE);
	}
}

// A late not_run must reach the entry node before the caller's deadline.
TEST_F(Router, TheGateChecksItsQueueWithinTheAnswerReserve)
{
	assign_owner("keyed", n->ctx.self);
	for (uint64_t i = 1; i <= 40; i++)
		receive_forward(i, i);
	ASSERT_GT(n->gate.admission.waiting, 0u);
	EXPECT_LE(gate_next_ns(&n->gate), now_ns + 10 * NS_PER_MS);
}

TEST_F(Router, TheGateFreesAnEndedAttemptAndDropsItsRepetition)
{
	assign_owner("keyed", n->ctx.self);
	receive_forward(1, 1);
	struct action *a = next_action(ACT_UPSTREAM_CALL);
	ASSERT_NE(a, nullptr);
	complete_call(a->u.call.call);
	action_delete(a);
	for (int i = 0; i < GATE_BUCKETS; i++)
		EXPECT_TRUE(list_empty(&n->gate.buckets[i]));
	receive_forward(1, 1);
	EXPECT_EQ(next_action(ACT_UPSTREAM_CALL), nullptr);
	EXPECT_EQ(n->gate.doubled, 1u);
}

TEST_F(Router, TheGateChecksTheHomeRegionOfTheOrganisation)
{
	assign_owner("keyed", n->ctx.self);
	receive_forward(1, 1, "org-b");
	struct action *a = next_message(MSG_ANSWER);
	ASSERT_NE(a, nullptr);
	EXPECT_EQ(a->u.send.message->u.answer.outcome, OUTCOME_NOT_RUN);
	EXPECT_EQ(a->u.send.message->u.answer.refusal, REFUSAL_HOME_REGION);
	action_delete(a);
	receive_forward(2, 2, "nobody");
	a = next_message(MSG_ANSWER);
	ASSERT_NE(a, nullptr);
	EXPECT_EQ(a->u.send.message->u.answer.refusal, REFUSAL_NO_ORGANISATION);
	action_delete(a);
}

TEST_F(Router, AnEntryNodeOutsideTheHomeRegionNamesOneInside)
{
	send_request("GET", "/home-b/x");
	struct action *a = next_action(ACT_REPLY);
	ASSERT_NE(a, nullptr);
	EXPECT_EQ(a->u.reply.refusal, REFUSAL_HOME_REGION);
	EXPECT_STREQ(a->u.reply.region, "b");
	EXPECT_STREQ(a->u.reply.entry_addr, "http-other");
	action_delete(a);
	EXPECT_EQ(n->router.count, 0u);
	send_request("GET", "/keyed/x", "X-Jackdaw-Organisation", "org-b");
	expect_reply(OUTCOME_NOT_RUN, REFUSAL_HOME_REGION);
}

TEST_F(Router, AnOwnerOutsideTheHomeRegionGetsNoRequest)
{
	assign_owner("keyed", OTHER);
	assign_owner("home-a", OTHER);
	send_request("GET", "/home-a/x");
	send_request("GET", "/keyed/x", "X-Jackdaw-Organisation", "org-a");
	EXPECT_EQ(next_forward().attempt, 0u);
	EXPECT_EQ(n->router.count, 2u);
}

TEST_F(Router, AHeldRequestIsRefusedOnceItsHomeRegionMoves)
{
	send_request("GET", "/home-a/x");
	ASSERT_EQ(n->router.count, 1u);
	struct doc *d = doc_new(DOC_MANIFEST, "");
	d->revision = ++revision;
	d->u.manifest = manifest_new();
	add_region(
		&add_route(d->u.manifest, "home-a", ROUTE_KEYED)->home_regions,
		"b");
	apply_doc(d);
	advance(30 * NS_PER_MS);
	expect_reply(OUTCOME_NOT_RUN, REFUSAL_HOME_REGION);
	EXPECT_EQ(n->router.count, 0u);
}

// A gate with another manifest than the entry's once made the entry deny a
// proper request as the caller's error, at once or at the deadline.
TEST_F(Router, RefusalByAnotherManifestAtTheGateIsNotTheCallersError)
{
	for (enum refusal r :
	     {REFUSAL_NO_ROUTE, REFUSAL_NO_ORGANISATION, REFUSAL_HOME_REGION}) {
		assign_owner("keyed", OTHER);
		send_request("POST", "/keyed/k");
		answer(next_forward(), OUTCOME_NOT_RUN, r);
		advance(30 * NS_PER_MS);
		struct msg_forward second = next_forward();
		EXPECT_EQ(second.attempt, 2u);
		answer(second, OUTCOME_NOT_RUN, r);
		advance(TIMEOUT_MS * NS_PER_MS);
		expect_reply(OUTCOME_NOT_RUN, REFUSAL_NO_MANIFEST);
	}
}

TEST_F(Router, InvalidRequestsAreRejectedWithTheirReason)
{
	send_request("GET", "/nowhere");
	expect_reply(OUTCOME_NOT_RUN, REFUSAL_NO_ROUTE);
	send_request("GET", "/keyed/");
	expect_reply(OUTCOME_NOT_RUN, REFUSAL_NO_KEY);
	send_request("GET", "/keyed/k", "X-Jackdaw-Deadline-Ms", "soon");
	expect_reply(OUTCOME_NOT_RUN, REFUSAL_BAD_DEADLINE);
	send_request("GET", "/keyed/k", "X-Jackdaw-Organisation", "nobody");
	expect_reply(OUTCOME_NOT_RUN, REFUSAL_NO_ORGANISATION);
	send_request("POST", "/keyed/k", NULL, NULL, 1001);
	expect_reply(OUTCOME_NOT_RUN, REFUSAL_TOO_LARGE);
	EXPECT_EQ(n->router.reasons[REFUSAL_NO_ROUTE], 1u);
	EXPECT_EQ(n->router.reasons[REFUSAL_TOO_LARGE], 1u);
	EXPECT_EQ(n->router.outcomes[OUTCOME_NOT_RUN], 5u);
	EXPECT_EQ(n->router.count, 0u);
}

TEST_F(Router, TheBytesOfPendingRequestsAreBounded)
{
	n->router.bytes = ROUTER_BYTES_MAX - 100;
	send_request("POST", "/keyed/k", NULL, NULL, 900);
	expect_reply(OUTCOME_NOT_RUN, REFUSAL_QUEUE_FULL);
	n->router.bytes = 0;
	send_request("POST", "/keyed/k", NULL, NULL, 900);
	EXPECT_GT(n->router.bytes, 900u);
	advance(TIMEOUT_MS * NS_PER_MS);
	EXPECT_EQ(n->router.bytes, 0u);
}

TEST_F(Router, ADisconnectedCallerCancelsAtTheLocalGateAfterARejoin)
{
	struct event ev = {};

	assign_owner("keyed", n->ctx.self);
	send_request("POST", "/keyed/k");
	struct action *a = next_action(ACT_UPSTREAM_CALL);
	ASSERT_NE(a, nullptr);
	uint64_t call = a->u.call.call;
	action_delete(a);
	n->ctx.self++;
	ev.kind = EV_CALLER_DISCONNECTED;
	ev.u.caller_disconnected.caller = 1;
	handle(&ev);
	a = next_action(ACT_UPSTREAM_CANCEL);
	ASSERT_NE(a, nullptr);
	EXPECT_EQ(a->u.cancel, call);
	action_delete(a);
}

TEST_F(Router, AnOversizedBodyIsRejectedAndCounted)
{
	struct event ev = {};

	ev.kind = EV_REQUEST;
	ev.u.request.caller = 1;
	ev.u.request.request = http_request_new("POST", "/keyed/k");
	ev.u.request.oversized = true;
	handle(&ev);
	expect_reply(OUTCOME_NOT_RUN, REFUSAL_TOO_LARGE);
	EXPECT_EQ(n->router.reasons[REFUSAL_TOO_LARGE], 1u);
}

TEST_F(Router, AHeldRequestIsSentOnceTheViewHasAnOwner)
{
	send_request("POST", "/keyed/k");
	EXPECT_EQ(next_forward().attempt, 0u);
	assign_owner("keyed", OTHER);
	advance(NS_PER_MS);
	EXPECT_EQ(next_forward().attempt, 1u);
}

TEST_F(Router, ADisconnectedCallerCancelsItsAttempt)
{
	struct event ev = {};

	assign_owner("keyed", OTHER);
	send_request("POST", "/keyed/k");
	struct msg_forward f = next_forward();
	ev.kind = EV_CALLER_DISCONNECTED;
	ev.u.caller_disconnected.caller = 1;
	handle(&ev);
	struct action *a = next_message(MSG_CANCEL);
	ASSERT_NE(a, nullptr);
	EXPECT_TRUE(request_id_equal(a->u.send.message->u.cancel.id, f.id));
	action_delete(a);
	EXPECT_EQ(n->router.count, 0u);
}

TEST(RouterSimulation, GuaranteesHoldUnderFaults)
{
	struct request_sim_opts o = request_sim_default;

	invariant_set_sink(to_stderr);
	for (o.seed = 1; o.seed <= 4; o.seed++) {
		struct request_sim_result r = request_sim_run(&o);

		EXPECT_EQ(r.requests, o.requests);
		EXPECT_GT(r.done, o.requests / 4);
		EXPECT_GT(r.doubled, 0u);
		EXPECT_GT(r.unmatched, 0u);
	}
}

TEST(RouterSimulation, WithoutFaultsNoOutcomeIsUnknown)
{
	struct request_sim_opts o = {};

	o.seed = 9;
	o.requests = 2000;
	o.churn_ms = 1000000;
	struct request_sim_result r = request_sim_run(&o);
	EXPECT_EQ(r.unknown, 0u);
	EXPECT_EQ(r.executed, r.done);
	EXPECT_EQ(r.unmatched, 0u);
	EXPECT_GT(r.done, o.requests / 2);
}
