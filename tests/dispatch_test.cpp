#include "jd_test.hpp"

#include <string>

extern "C" {
#include "core/dispatch.h"
#include "core/mem.h"
}

static char any_host[] = "h";

/* An entry in r0 and two gates: "near" in its region, "far" in another. */
struct DispatchTest : public ::testing::Test {
	struct mesh_opts opts = {};
	struct mesh_ctx c = {};
	struct mesh_actions out;
	struct gatekeeper gate;
	struct holder holder;
	struct dispatch d;
	struct local_gate local;
	uint64_t next_caller = 0;

	DispatchTest()
	{
		mem_copy_str(opts.node, "n0", sizeof(opts.node));
		mem_copy_str(opts.region, "r0", sizeof(opts.region));
		mem_copy_str(opts.dc, "dc0", sizeof(opts.dc));
		opts.boot = 1;
		opts.retry_window_ns = 10 * NS_PER_S;
		opts.retry_ratio = 0.2;
		opts.retry_slack = 60;
		mesh_actions_init(&out);
		c.opts = &opts;
		c.out = &out;
		c.now_ns = 100 * NS_PER_S;
		directory_init(&c.dir, "r0");
		rng_init(&c.rng, 1);
		gatekeeper_init(&gate);
		holder_init(&holder, &opts, c.now_ns);
		dispatch_init(&d);
		local = {&gate, &holder};
		c.manifest_checked_ns = c.now_ns;
		configure();
		add_gate("near", "r0", 2);
		add_gate("far", "r1", 3);
	}
	~DispatchTest() override
	{
		dispatch_done(&d);
		gatekeeper_done(&gate);
		holder_done(&holder);
		directory_done(&c.dir);
		mesh_actions_done(&out);
	}
	void configure()
	{
		struct manifest *m = manifest_new();
		struct route *r = manifest_add_route(m);

		mem_copy_str(r->name, "status", sizeof(r->name));
		mem_copy_str(r->service, "intake", sizeof(r->service));
		route_set_path(r, "/");
		r->timeout_ms = 4000;
		r->objective_ms = 1000;
		r->idempotent = ~0u;
		r->max_attempts = 2;
		mem_copy_str(manifest_add_service(m)->name, "intake",
			     JD_NAME_MAX);
		m->version = 1;
		c.dir.manifest = m;
	}
	struct route *route()
	{
		return list_entry(c.dir.manifest->routes.next, struct route,
				  link);
	}
	void add_gate(const char *name, const char *region, uint64_t boot)
	{
		struct record *r = record_new(RECORD_CARD, name);
		struct list records;
		struct dir_node *n;

		list_init(&records);
		list_push_back(&records, &r->link);
		r->revision = boot;
		mem_copy_str(r->u.card.region, region,
			     sizeof(r->u.card.region));
		mem_copy_str(r->u.card.dc, "dc0", sizeof(r->u.card.dc));
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
	}
	bool oversized = false; /* of the requests to send */
	bool keyed = false;
	std::string api_key;
	/* Of the last forward. */
	std::string organisation;
	uint32_t priority = 0;
	bool passed_credentials = false;
	void note_forward(const struct msg_forward *f)
	{
		const struct payload *p = &f->request->payload;

		organisation = f->organisation;
		priority = f->priority;
		passed_credentials = payload_header(p, "Authorization") ||
				     payload_header(p, "X-Organisation");
	}
	struct organisation *add_organisation(const char *name, const char *key)
	{
		struct organisation *o =
			manifest_add_organisation(c.dir.manifest);

		c.dir.manifest->api_keys_required = true;
		mem_copy_str(o->name, name, sizeof(o->name));
		organisation_add_key(o, key);
		return o;
	}
	/* Sends one request; returns the boot of the gate that got it. */
	uint64_t send(struct request_id *id)
	{
		struct caller_request r = {};
		struct mesh_action *a;
		uint64_t to = 0;

		r.caller = ++next_caller;
		r.id = mem_dup_str("q");
		r.host = any_host;
		r.oversized = oversized;
		r.keyed = keyed;
		r.request = http_request_new("GET", "/x");
		r.organisation_header = "X-Organisation";
		r.api_key = mem_dup_str(api_key.c_str());
		payload_add_header(&r.request->payload, "Authorization",
				   ("Bearer " + api_key).c_str());
		payload_add_header(&r.request->payload, "X-Organisation", "x");
		dispatch_on_request(&d, &c, &local, &r);
		free(r.id);
		free(r.api_key);
		http_request_unref(r.request);
		while ((a = mesh_actions_pop(&out))) {
			if (a->kind == MA_SEND &&
			    a->u.send.message->kind == MSG_FORWARD) {
				to = a->u.send.message->to;
				*id = a->u.send.message->u.forward.id;
				note_forward(&a->u.send.message->u.forward);
			}
			mesh_action_delete(a);
		}
		return to;
	}
	void answer(uint64_t boot, const struct request_id &id,
		    const std::string &body = "")
	{
		struct msg_answer a = {};

		a.id = id;
		a.attempt = 1;
		a.outcome = OUTCOME_DONE;
		a.load = directory_by_boot(&c.dir, boot)->load;
		a.answer = http_answer_new(200);
		payload_set_body(&a.answer->payload, body.data(), body.size());
		dispatch_on_answer(&d, &c, &local, boot, &a);
		http_answer_delete(a.answer);
	}
	/* Answers requests until the mean answer size is close to @bytes. */
	void train_answer_size(size_t bytes)
	{
		std::string body(bytes, 'x');

		for (int i = 0; i < 200; i++) {
			struct request_id id = {};
			uint64_t to = send(&id);

			answer(to, id, body);
		}
	}
	void set_near_load(uint32_t waiting)
	{
		struct dir_node *n = directory_node(&c.dir, "near");

		n->load.running = 10;
		n->load.waiting = waiting;
	}
};

/*
 * Traffic between regions is paid for: requests with answers of 5 KB wait in
 * their region's queue, those with answers of 400 bytes go to another region.
 */
TEST_F(DispatchTest, LargeAnswersKeepRequestsInTheRegion)
{
	struct request_id id = {};

	train_answer_size(400);
	set_near_load(20);
	EXPECT_EQ(send(&id), 3u);
	set_near_load(0);
	train_answer_size(5000);
	set_near_load(20);
	EXPECT_EQ(send(&id), 2u);
	/* With a longer queue it would be late in this region. */
	set_near_load(60);
	EXPECT_EQ(send(&id), 3u);
}

/* Requests sent to a gate count as its load until it reports its load. */
TEST_F(DispatchTest, AnAnswerResetsTheCountOfSentRequests)
{
	struct request_id id = {};
	struct msg_answer a = {};
	struct dir_node *near = directory_node(&c.dir, "near");

	for (int i = 0; i < 5; i++)
		ASSERT_EQ(send(&id), near->boot);
	EXPECT_EQ(near->unreported_requests, 5u);
	a.id = id;
	a.attempt = 1;
	a.outcome = OUTCOME_DONE;
	a.load = near->load;
	a.answer = http_answer_new(200);
	c.now_ns += 50 * NS_PER_MS;
	dispatch_on_answer(&d, &c, &local, near->boot, &a);
	EXPECT_EQ(near->unreported_requests, 0u);
	EXPECT_EQ(near->heard_ns, c.now_ns);
}

/* Of an entry's own requests at a gate, under way and answered. */
TEST_F(DispatchTest, OwnRequestsAtAGateAreCountedExactly)
{
	struct request_id id = {};
	struct dir_node *near = directory_node(&c.dir, "near");
	struct gate_load load = near->load;

	for (int i = 0; i < 5; i++)
		ASSERT_EQ(send(&id), near->boot);
	directory_note_load(near, &load, c.now_ns);
	EXPECT_EQ(near->even.in_flight, 5u);
	answer(near->boot, id);
	answer(near->boot, id); /* late and unknown */
	EXPECT_EQ(near->even.in_flight, 4u);
	dispatch_on_caller_disconnected(&d, &c, &local, 1);
	EXPECT_EQ(near->even.in_flight, 3u);
	c.now_ns += 5 * NS_PER_S; /* past the deadline */
	dispatch_work(&d, &c, &local);
	EXPECT_EQ(near->even.in_flight, 0u);
}

/* A process that was replaced has none of the requests of before. */
TEST_F(DispatchTest, ANewProcessOfANodeHasNoneOfTheOwnRequests)
{
	struct request_id id = {};
	struct dir_node *near = directory_node(&c.dir, "near");
	uint64_t before = near->boot;

	ASSERT_EQ(send(&id), before);
	ASSERT_EQ(send(&id), before);
	directory_set_boot(&c.dir, near, 9);
	EXPECT_EQ(near->even.in_flight, 0u);
	ASSERT_EQ(send(&id), 9u);
	c.now_ns += 10 * NS_PER_S;
	near->heard_ns = c.now_ns;
	dispatch_work(&d, &c, &local);
	EXPECT_EQ(near->even.in_flight, 0u);
}

/* A lost gate is found by a probe, well before the request's deadline. */
TEST_F(DispatchTest, ASilentGateThatOwesAnAnswerIsProbed)
{
	struct request_id id = {};
	struct dir_node *near = directory_node(&c.dir, "near");

	ASSERT_EQ(send(&id), near->boot);
	c.now_ns += 400 * NS_PER_MS;
	dispatch_work(&d, &c, &local);
	EXPECT_FALSE(near->probe_due);
	c.now_ns += 200 * NS_PER_MS;
	dispatch_work(&d, &c, &local);
	EXPECT_TRUE(near->probe_due);
	EXPECT_TRUE(c.dir.urgent_reports);
	near->probe_due = false;
	near->probed_ns = c.now_ns;
	c.now_ns += DIR_PROBE_TIMEOUT_NS + NS_PER_MS;
	directory_node(&c.dir, "far")->heard_ns = c.now_ns;
	dispatch_work(&d, &c, &local);
	EXPECT_FALSE(directory_usable(&c.dir, near, c.now_ns));
	EXPECT_EQ(d.retries.allowed, 1u) << "retried at the other gate";
}

/* Without these fields, a 404 of an old manifest looks like a caller's error.
 */
TEST_F(DispatchTest, ARefusalShowsWhichManifestIsInForceAndWhichIsKnown)
{
	struct caller_request r = {};
	struct mesh_action *a;
	std::string line;

	route_set_path(route(), "/a/");
	c.dir.manifest_revision = 9;
	c.dir.manifest_wanted = 9;
	c.dir.peer_revision = 12;
	c.manifest_checked_ns = 0;
	directory_node(&c.dir, "far")->watched_ns = c.now_ns;
	c.store_down = true;
	c.store_answered_ns = c.now_ns - 40 * NS_PER_MS;
	r.id = mem_dup_str("q");
	r.host = any_host;
	r.request = http_request_new("GET", "/b/1?secret");
	dispatch_on_request(&d, &c, &local, &r);
	free(r.id);
	http_request_unref(r.request);
	while ((a = mesh_actions_pop(&out))) {
		if (a->kind == MA_LOG)
			line = a->u.log.line;
		mesh_action_delete(a);
	}
	EXPECT_NE(line.find("event=request_refused id=q why=no_route code=404 "
			    "host=\"h\" path=\"/b/1\""),
		  std::string::npos)
		<< line;
	EXPECT_NE(line.find("config=1 config_revision=0.9 config_wanted=0.9"),
		  std::string::npos)
		<< line;
	EXPECT_NE(line.find("store_down=1 store_age_ms=40"), std::string::npos)
		<< line;
}

/* Requests that the manifest allows are served however old it may be. */
TEST_F(DispatchTest, AManifestThatMayBeOldGivesNoFinalRefusal)
{
	struct request_id id = {};

	c.manifest_checked_ns = 0;
	EXPECT_NE(send(&id), 0u);
	route_set_path(route(), "/a/");
	EXPECT_EQ(send(&id), 0u);
	EXPECT_EQ(d.reasons[REFUSAL_OLD_MANIFEST], 1u);
	c.manifest_checked_ns = c.now_ns;
	EXPECT_EQ(send(&id), 0u);
	EXPECT_EQ(d.reasons[REFUSAL_NO_ROUTE], 1u);
}

/* An upstream's 3xx or 4xx is good by its time, yet callers report it. */
TEST_F(DispatchTest, AnUpstreamsClientErrorIsLogged)
{
	struct request_id id = {};
	struct msg_answer ans = {};
	struct mesh_action *a;
	std::string line;
	uint64_t to = send(&id);

	ans.id = id;
	ans.attempt = 1;
	ans.outcome = OUTCOME_DONE;
	ans.answer = http_answer_new(404);
	dispatch_on_answer(&d, &c, &local, to, &ans);
	while ((a = mesh_actions_pop(&out))) {
		if (a->kind == MA_LOG)
			line = a->u.log.line;
		mesh_action_delete(a);
	}
	EXPECT_NE(line.find("event=request_denied id=q route=status"),
		  std::string::npos)
		<< line;
	EXPECT_NE(line.find("code=404"), std::string::npos) << line;
}

/* The caller's request is right, so it may come back: no 4xx. */
TEST_F(DispatchTest, ARequestOnAnInvalidRouteIsAskedToComeBack)
{
	struct request_id id = {};

	route()->invalid = true;
	EXPECT_EQ(send(&id), 0u);
	EXPECT_EQ(d.reasons[REFUSAL_INVALID_ROUTE], 1u);
	EXPECT_EQ(refusal_find(REFUSAL_INVALID_ROUTE)->http_code, 503);
}

/*
 * A 404 is final for a caller. A node that knows of a newer manifest can't
 * tell whether the route exists; it asks the caller to come back.
 */
TEST_F(DispatchTest, AnOldManifestGivesNoFinalRefusal)
{
	struct request_id id = {};

	route_set_path(route(), "/a/");
	c.dir.manifest_revision = 7;
	EXPECT_EQ(send(&id), 0u);
	EXPECT_EQ(d.reasons[REFUSAL_NO_ROUTE], 1u);
	c.dir.manifest_wanted = 9;
	EXPECT_EQ(send(&id), 0u);
	EXPECT_EQ(d.reasons[REFUSAL_OLD_MANIFEST], 1u);
	EXPECT_EQ(refusal_find(REFUSAL_OLD_MANIFEST)->http_code, 503);
	/* The service has got keys, as far as this manifest says. */
	route_set_path(route(), "/");
	list_entry(c.dir.manifest->services.next, struct service, link)->keyed =
		true;
	EXPECT_EQ(send(&id), 0u);
	EXPECT_EQ(d.reasons[REFUSAL_OLD_MANIFEST], 2u);
	oversized = true;
	EXPECT_EQ(send(&id), 0u);
	EXPECT_EQ(d.reasons[REFUSAL_OLD_MANIFEST], 3u);
	c.dir.manifest_revision = 9;
	EXPECT_EQ(send(&id), 0u);
	EXPECT_EQ(d.reasons[REFUSAL_TOO_LARGE], 1u);
	oversized = false;
	EXPECT_EQ(send(&id), 0u);
	EXPECT_EQ(d.reasons[REFUSAL_NO_KEY], 1u);
	EXPECT_EQ(d.reasons[REFUSAL_NO_ROUTE], 1u);
}

/*
 * Guards against a failure of our own for a request at which an upstream is at
 * work: the gate was only slow, and its answer came later. A request that can't
 * be sent again gains nothing by an early end.
 */
TEST_F(DispatchTest, ASilentGateEndsNoRequestThatCannotBeRepeated)
{
	struct dir_node *near = directory_node(&c.dir, "near");

	for (bool restarted : {false, true}) {
		struct request_id id;

		route()->idempotent = 0;
		near->heard_ns = c.now_ns;
		ASSERT_EQ(send(&id), near->boot);
		near->probed_ns = c.now_ns + NS_PER_MS;
		c.now_ns += 3500 * NS_PER_MS;
		dispatch_work(&d, &c, &local);
		EXPECT_EQ(d.count, 1u);
		EXPECT_EQ(d.reasons[REFUSAL_CONNECTION_LOST], restarted);
		/* Another process, or none, has taken its place. */
		if (restarted)
			near->boot++;
		else
			near->revision = 0;
		c.now_ns += 100 * NS_PER_MS;
		dispatch_work(&d, &c, &local);
		EXPECT_EQ(d.count, 0u);
		EXPECT_EQ(d.reasons[REFUSAL_CONNECTION_LOST], 1u + restarted);
		near->revision = 2;
	}
}

/*
 * The same for one that can be repeated: it was ended with a 502 although the
 * retry budget was spent, or no other gate was there to get it.
 */
TEST_F(DispatchTest, ASilentGateEndsNoRequestThatCannotMoveNow)
{
	struct dir_node *near = directory_node(&c.dir, "near");
	struct dir_node *far = directory_node(&c.dir, "far");

	for (bool budget : {false, true}) {
		struct request_id id = {};

		SCOPED_TRACE(budget);
		opts.retry_ratio = opts.retry_slack = budget ? 1 : 0;
		near->heard_ns = c.now_ns;
		ASSERT_EQ(send(&id), near->boot);
		far->load.open = !budget;
		near->probed_ns = c.now_ns + NS_PER_MS;
		c.now_ns += 1500 * NS_PER_MS;
		far->heard_ns = c.now_ns;
		dispatch_work(&d, &c, &local);
		EXPECT_EQ(d.count, 1u);
		EXPECT_EQ(d.reasons[REFUSAL_CONNECTION_LOST], 0u);
		EXPECT_EQ(d.retries.allowed, 0u);
		/* The answer still counts. */
		answer(near->boot, id);
		EXPECT_EQ(d.count, 0u);
	}
	/* Another gate has room, and so has the budget. */
	struct request_id id = {};

	far->load.open = true;
	near->heard_ns = c.now_ns;
	ASSERT_EQ(send(&id), near->boot);
	near->probed_ns = c.now_ns + NS_PER_MS;
	c.now_ns += 1500 * NS_PER_MS;
	far->heard_ns = c.now_ns;
	dispatch_work(&d, &c, &local);
	EXPECT_EQ(d.count, 1u);
	EXPECT_EQ(d.retries.allowed, 1u);
}

/*
 * A request was ended 40 ms after it was sent, as its gate had not answered a
 * probe from before; the gate was alive and passed the request on later.
 */
TEST_F(DispatchTest, AProbeFromBeforeARequestDoesNotEndIt)
{
	struct dir_node *near = directory_node(&c.dir, "near");
	struct request_id id = {};

	near->heard_ns = c.now_ns;
	near->probed_ns = c.now_ns + 100 * NS_PER_MS;
	c.now_ns += 990 * NS_PER_MS;
	ASSERT_EQ(send(&id), near->boot);
	c.now_ns += 20 * NS_PER_MS;
	dispatch_work(&d, &c, &local);
	EXPECT_EQ(d.reasons[REFUSAL_CONNECTION_LOST], 0u);
	EXPECT_EQ(d.retries.allowed, 0u);
	/* It gets a probe of its own in time. */
	c.now_ns += 600 * NS_PER_MS;
	dispatch_work(&d, &c, &local);
	EXPECT_TRUE(near->probe_due);
}

/* A fixture whose only service is keyed; "near" owns all keys. */
struct KeyedDispatchTest : public DispatchTest {
	KeyedDispatchTest()
	{
		struct record *r = record_new(RECORD_KEYMAP, "intake");
		struct list records;

		list_entry(c.dir.manifest->services.next, struct service, link)
			->keyed = true;
		list_init(&records);
		list_push_back(&records, &r->link);
		r->revision = 9;
		r->u.keymap = keymap_new("intake");
		mem_copy_str(keymap_append_row(r->u.keymap, 0, KEYMAP_KEYS - 1)
				     ->owner.node,
			     "near", JD_NODE_NAME_MAX);
		directory_apply(&c.dir, &records, false, 9, c.now_ns, &out);
		records_delete(&records);
		keyed = true;
	}
	/* Sends requests, 50 a second; returns how many reached the owner. */
	int send_many(int count, enum refusal refusal)
	{
		int sent = 0;

		for (int i = 0; i < count; i++) {
			struct request_id id = {};
			uint64_t to = send(&id);
			struct msg_answer a = {};

			c.now_ns += 20 * NS_PER_MS;
			if (!to)
				continue;
			sent++;
			a.id = id;
			a.attempt = 1;
			a.refusal = refusal;
			a.outcome = refusal == REFUSAL_NONE ? OUTCOME_DONE
							    : OUTCOME_NOT_RUN;
			a.load = directory_by_boot(&c.dir, to)->load;
			if (refusal == REFUSAL_NONE)
				a.answer = http_answer_new(200);
			dispatch_on_answer(&d, &c, &local, to, &a);
		}
		return sent;
	}
};

/*
 * Guards against an overloaded owner of keys whose node spends its time on
 * refusals, while every entry sends it all requests for its keys.
 */
TEST_F(KeyedDispatchTest, AnOwnerThatRefusesMostRequestsIsSentFewer)
{
	int sent = send_many(200, REFUSAL_QUEUE_FULL);

	EXPECT_LT(sent, 60);
	EXPECT_GT(sent, 4) << "it has to notice when there is room again";
	send_many(400, REFUSAL_NONE);
	EXPECT_EQ(send_many(100, REFUSAL_NONE), 100);
}

TEST_F(DispatchTest, WithoutOrganisationsCredentialsArePassedOn)
{
	struct request_id id;

	api_key = "k";
	EXPECT_NE(send(&id), 0u);
	EXPECT_EQ(organisation, "");
	EXPECT_TRUE(passed_credentials);
}

TEST_F(DispatchTest, AKnownKeyForwardsTheOrganisationAndItsRank)
{
	struct request_id id;
	struct organisation *o = add_organisation("museum", "k");

	route()->priority = 1;
	api_key = "k";
	EXPECT_NE(send(&id), 0u);
	EXPECT_EQ(organisation, "museum");
	EXPECT_EQ(priority, 1u * 4 + 1) << "the route's, in both places";
	EXPECT_FALSE(passed_credentials);
	o->has_priority = true;
	o->priority = 4;
	EXPECT_NE(send(&id), 0u);
	EXPECT_EQ(priority, 4u * 4 + 1);
	route()->open = true;
	api_key = "";
	EXPECT_NE(send(&id), 0u);
	EXPECT_EQ(organisation, "");
	EXPECT_EQ(priority, 1u * 4 + 1);
	EXPECT_FALSE(passed_credentials);
}

/* A 401 is final, so it does not come from a manifest that may be outdated. */
TEST_F(DispatchTest, AnUnknownKeyIsRefusedByTheNewestManifestOnly)
{
	struct request_id id;

	add_organisation("museum", "k");
	api_key = "other";
	EXPECT_EQ(send(&id), 0u);
	EXPECT_EQ(d.reasons[REFUSAL_UNKNOWN_API_KEY], 1u);
	EXPECT_EQ(refusal_find(REFUSAL_UNKNOWN_API_KEY)->http_code, 401);
	c.dir.manifest_wanted = 9;
	EXPECT_EQ(send(&id), 0u);
	EXPECT_EQ(d.reasons[REFUSAL_UNKNOWN_API_KEY], 1u);
	EXPECT_EQ(d.reasons[REFUSAL_OLD_MANIFEST], 1u);
}

/*
 * Guards against a withdrawn key in use: nothing of an earlier request on the
 * same connection, or of an earlier process, stands for the key.
 */
TEST_F(DispatchTest, AWithdrawnKeyIsRefusedAsSoonAsItsManifestIsInForce)
{
	struct request_id id;
	struct record *r = record_new(RECORD_MANIFEST, "");
	struct manifest *next;
	struct list records;

	add_organisation("museum", "k");
	api_key = "k";
	EXPECT_NE(send(&id), 0u);
	next = manifest_copy(c.dir.manifest);
	next->version++;
	list_init(&records);
	list_push_back(&records, &r->link);
	r->revision = 20;
	r->u.manifest = next;
	organisation_delete(list_entry(next->organisations.next,
				       struct organisation, link));
	list_init(&next->organisations);
	directory_apply(&c.dir, &records, false, 20, c.now_ns, &out);
	records_delete(&records);
	ASSERT_EQ(c.dir.manifest, next);
	next_caller--;
	EXPECT_EQ(send(&id), 0u);
	EXPECT_EQ(d.reasons[REFUSAL_UNKNOWN_API_KEY], 1u);
	/* A process that has just started. */
	manifest_delete(c.dir.manifest);
	c.dir.manifest = nullptr;
	EXPECT_EQ(send(&id), 0u);
	EXPECT_EQ(d.reasons[REFUSAL_NO_MANIFEST], 1u);
}

TEST_F(DispatchTest, HomeRegionsOfTheOrganisationBindTheGate)
{
	struct request_id id;
	struct organisation *o = add_organisation("museum", "k");

	api_key = "k";
	EXPECT_EQ(send(&id), 2u);
	o->home_regions.count = 1;
	mem_copy_str(o->home_regions.names[0], "r1", JD_NAME_MAX);
	EXPECT_EQ(send(&id), 3u);
	route()->home_regions.count = 1;
	mem_copy_str(route()->home_regions.names[0], "r0", JD_NAME_MAX);
	EXPECT_EQ(send(&id), 0u);
	EXPECT_EQ(d.reasons[REFUSAL_NO_COMMON_REGION], 1u);
}

/* Held for want of a gate, the request does not leave its home regions. */
TEST_F(DispatchTest, AHeldRequestKeepsTheHomeRegionsOfItsOrganisation)
{
	struct request_id id;
	struct organisation *o = add_organisation("museum", "k");
	struct mesh_action *a;
	uint64_t to = 0;

	api_key = "k";
	o->home_regions.count = 1;
	mem_copy_str(o->home_regions.names[0], "r1", JD_NAME_MAX);
	directory_node(&c.dir, "far")->load.open = false;
	EXPECT_EQ(send(&id), 0u);
	EXPECT_EQ(d.count, 1u);
	c.now_ns += 30 * NS_PER_MS;
	dispatch_work(&d, &c, &local);
	EXPECT_TRUE(list_empty(&out.items));
	directory_node(&c.dir, "far")->load.open = true;
	c.now_ns += 30 * NS_PER_MS;
	dispatch_work(&d, &c, &local);
	while ((a = mesh_actions_pop(&out))) {
		if (a->kind == MA_SEND)
			to = a->u.send.message->to;
		mesh_action_delete(a);
	}
	EXPECT_EQ(to, 3u);
}

/* Guards against a status of no answer that reaches the caller as an answer. */
TEST_F(DispatchTest, AnAnswerWithoutAStatusIsUnknown)
{
	route()->idempotent = 0;
	for (int code : {-1, 0, 99, 101, 600, 999}) {
		struct request_id id = {};
		uint64_t boot = send(&id);
		struct msg_answer a = {};
		struct mesh_action *act;
		int replied = 0;
		bool logged = false;

		a.id = id;
		a.attempt = 1;
		a.outcome = OUTCOME_DONE;
		a.load = directory_by_boot(&c.dir, boot)->load;
		a.answer = code < 0 ? NULL : http_answer_new(code);
		dispatch_on_answer(&d, &c, &local, boot, &a);
		while ((act = mesh_actions_pop(&out))) {
			if (act->kind == MA_REPLY) {
				replied = act->u.reply.code;
				EXPECT_EQ(act->u.reply.answer, nullptr);
			}
			logged |= act->kind == MA_LOG &&
				  strstr(act->u.log.line, "answer_invalid");
			mesh_action_delete(act);
		}
		EXPECT_EQ(replied, 502) << code;
		EXPECT_TRUE(logged) << code;
	}
}

/* An entry of a deployment whose load exceeds its room at times. */
struct LoadedDispatchTest : public DispatchTest {
	LoadedDispatchTest()
	{
		opts.heavy_load = true;
	}
	/* Sends a request whose caller has @left_ms; returns its forward. */
	struct msg_forward forward(uint64_t left_ms)
	{
		struct caller_request r = {};
		struct msg_forward f = {};
		struct mesh_action *a;

		r.caller = ++next_caller;
		r.host = any_host;
		r.deadline_ns = c.now_ns + left_ms * NS_PER_MS;
		r.request = http_request_new("GET", "/x");
		dispatch_on_request(&d, &c, &local, &r);
		free(r.id);
		free(r.api_key);
		http_request_unref(r.request);
		while ((a = mesh_actions_pop(&out))) {
			if (a->kind == MA_SEND &&
			    a->u.send.message->kind == MSG_FORWARD)
				f = a->u.send.message->u.forward;
			mesh_action_delete(a);
		}
		f.request = NULL;
		return f;
	}
	void run_at_own_gate(uint32_t rank, uint64_t left_ms)
	{
		struct gate_attempt *a = mem_new(struct gate_attempt);

		a->priority = rank;
		a->upstream_deadline_ns = c.now_ns + left_ms * NS_PER_MS;
		list_push_back(&gate.running, &a->link);
	}
	/* Has a gate report that only upstreams call the route. */
	void make_internal()
	{
		struct request_id id = {};
		struct msg_answer a = {};
		uint64_t to = send(&id);

		a.id = id;
		a.attempt = 1;
		a.internal_route = true;
		a.answer = http_answer_new(200);
		a.load = directory_by_boot(&c.dir, to)->load;
		dispatch_on_answer(&d, &c, &local, to, &a);
	}
};

TEST_F(LoadedDispatchTest, ACallCarriesTheRankOfItsRun)
{
	route()->priority = 3;
	run_at_own_gate(1, 1400);
	EXPECT_FALSE(forward(400).call) << "the route is not internal";
	make_internal();
	EXPECT_TRUE(forward(400).call);
	EXPECT_EQ(forward(400).priority, 1u);
	EXPECT_EQ(forward(1600).priority, 3u) << "no run may have made it";
	opts.heavy_load = false;
	EXPECT_FALSE(forward(400).call);
	EXPECT_EQ(forward(400).priority, 3u);
}

TEST_F(LoadedDispatchTest, ACallerThatComesBackCountsFromItsFirstAttempt)
{
	for (int i = 0; i < 64; i++)
		EXPECT_FALSE(forward(2900 + i).again);
	struct msg_forward f = forward(2400);

	EXPECT_TRUE(f.again);
	EXPECT_LT(f.objective_ns, 500 * NS_PER_MS);
	EXPECT_GT(f.objective_ns, 400 * NS_PER_MS);
	EXPECT_EQ(d.arrivals.comebacks.recognised, 1u);
}

/* The load: each of two gates has four times what it can run at once. */
TEST_F(LoadedDispatchTest, ARefusedCallerIsToldWhenRoomIsExpected)
{
	struct request_id id = {};
	struct msg_answer a = {};
	struct mesh_action *act;
	uint64_t retry_after_ns = 0;
	uint64_t to = send(&id);

	directory_node(&c.dir, "near")->load.waiting = 40;
	directory_node(&c.dir, "far")->load.waiting = 40;
	a.id = id;
	a.attempt = 1;
	a.outcome = OUTCOME_NOT_RUN;
	a.refusal = REFUSAL_NO_ROOM;
	a.load = directory_by_boot(&c.dir, to)->load;
	dispatch_on_answer(&d, &c, &local, to, &a);
	while ((act = mesh_actions_pop(&out))) {
		if (act->kind == MA_REPLY)
			retry_after_ns = act->u.reply.retry_after_ns;
		mesh_action_delete(act);
	}
	EXPECT_GE(retry_after_ns, 400 * NS_PER_MS);
	EXPECT_LE(retry_after_ns, 1210 * NS_PER_MS);
}

/* It has waited at that gate for as long as it could. */
TEST_F(LoadedDispatchTest, WhatWaitedInVainIsNotSentToAnotherGate)
{
	struct request_id id = {};
	struct msg_answer a = {};
	uint64_t to = send(&id);

	a.id = id;
	a.attempt = 1;
	a.outcome = OUTCOME_NOT_RUN;
	a.refusal = REFUSAL_NO_ROOM;
	a.load = directory_by_boot(&c.dir, to)->load;
	dispatch_on_answer(&d, &c, &local, to, &a);
	EXPECT_EQ(d.count, 0u);
	EXPECT_EQ(d.reasons[REFUSAL_NO_ROOM], 1u);
}

/*
 * Guards against requests that are dropped because those before them have not
 * been answered yet. Found by mesh_test, seed 7 of FaultsAtRandom.
 */
struct LoadedKeyedDispatchTest : public KeyedDispatchTest {
	LoadedKeyedDispatchTest()
	{
		opts.heavy_load = true;
	}
};

TEST_F(LoadedKeyedDispatchTest, RequestsOnTheirWayAreNotTakenForRefused)
{
	for (int i = 0; i < 50; i++) {
		struct request_id id = {};

		EXPECT_NE(send(&id), 0u);
	}
}
