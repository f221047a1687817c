#include "jd_test.hpp"

#include <algorithm>
#include <functional>
#include <string>

extern "C" {
#include "core/mem.h"
#include "core/mesh.h"
#include "core/relay.h"
}

/* The message that an action sends; NULL: it sends none. */
static struct message **sent_message(struct mesh_action *a)
{
	if (a->kind == MA_SEND)
		return &a->u.send.message;
	return a->kind == MA_SEND_ALL ? &a->u.send_all.message : nullptr;
}

/* To how many nodes an action sends changes. */
static int changes_sent(struct mesh_action *a)
{
	struct message **m = sent_message(a);
	int n = 0;

	if (!m || (*m)->kind != MSG_CHANGES)
		return 0;
	if (a->kind == MA_SEND)
		return 1;
	for (struct list *it = a->u.send_all.to.next; it != &a->u.send_all.to;
	     it = it->next)
		n++;
	return n;
}

/* A region as one of its nodes sees it; all nodes are live. */
struct RelayTest : public ::testing::Test {
	struct mesh_opts opts = {};
	struct mesh_ctx c = {};
	struct mesh_actions out;
	struct session session;

	RelayTest()
	{
		mesh_actions_init(&out);
		c.opts = &opts;
		c.out = &out;
		c.now_ns = 100 * NS_PER_S;
		directory_init(&c.dir, "r0");
		c.dir.loaded = true;
		c.dir.revision = 50;
	}
	~RelayTest() override
	{
		directory_done(&c.dir);
		mesh_actions_done(&out);
	}
	static std::string name(int i)
	{
		return "n" + std::to_string(10 + i);
	}
	void add_nodes(int nodes, int own)
	{
		mem_copy_str(opts.node, name(own).c_str(), sizeof(opts.node));
		opts.boot = static_cast<uint64_t>(own) + 1;
		session_init(&session, &opts);
		for (int i = 0; i < nodes; i++) {
			struct list records;
			struct record *r =
				record_new(RECORD_CARD, name(i).c_str());

			list_init(&records);
			list_push_back(&records, &r->link);
			r->revision = static_cast<uint64_t>(i) + 1;
			mem_copy_str(r->u.card.region, "r0",
				     sizeof(r->u.card.region));
			r->u.card.boot = static_cast<uint64_t>(i) + 1;
			directory_apply(&c.dir, &records, false, 0, c.now_ns,
					&out);
			records_delete(&records);
			node(i)->heard_ns = c.now_ns;
		}
	}
	/* The node is registered, and no renewal is due. */
	void hold_lease()
	{
		session.lease = 7;
		session.registered = session.fresh = true;
		session.keep.next_ns = UINT64_MAX;
	}
	struct dir_node *node(int i)
	{
		return directory_node(&c.dir, name(i).c_str());
	}
	struct message *changes(revision_t from, revision_t to)
	{
		struct message *m = message_new(MSG_CHANGES);

		m->u.changes.from = from;
		m->u.changes.to = to;
		return m;
	}
};

TEST_F(RelayTest, AllNodesOfASmallRegionWatch)
{
	add_nodes(5, 4);
	node(0)->watches = node(1)->watches = node(2)->watches = true;
	EXPECT_TRUE(relay_is_watcher(&c));
}

TEST_F(RelayTest, TwoNodesOfALargeRegionWatchAndTheNextReplacesALostOne)
{
	add_nodes(20, 7);
	EXPECT_TRUE(relay_is_watcher(&c)) << "no other node watches";
	node(0)->watches = true;
	EXPECT_TRUE(relay_is_watcher(&c));
	node(3)->watches = true;
	EXPECT_FALSE(relay_is_watcher(&c));
	/* A watcher leaves, does not answer, or stops watching. */
	node(3)->leaving = true;
	EXPECT_TRUE(relay_is_watcher(&c));
	node(3)->leaving = false;
	node(3)->probed_ns = node(3)->heard_ns + 1;
	c.now_ns += DIR_PROBE_TIMEOUT_NS + 2;
	EXPECT_TRUE(relay_is_watcher(&c));
	node(3)->probed_ns = 0;
	EXPECT_FALSE(relay_is_watcher(&c));
	node(0)->watches = false;
	EXPECT_TRUE(relay_is_watcher(&c));
	/* A watcher with a higher name does not count. */
	node(9)->watches = true;
	EXPECT_TRUE(relay_is_watcher(&c));
}

TEST_F(RelayTest, ChangesAreForwardedToNodesWithoutAWatch)
{
	struct ev_store_end e = {};
	struct record *r = record_new(RECORD_EVACUATION, "dc1");
	struct mesh_action *a;
	int sent = 0;

	add_nodes(20, 0);
	node(1)->watches = true;
	list_init(&e.records);
	list_push_back(&e.records, &r->link);
	e.revision = 51;
	relay_forward_changes(&c, 50, &e);
	while ((a = mesh_actions_pop(&out))) {
		sent += changes_sent(a);
		mesh_action_delete(a);
	}
	EXPECT_EQ(sent, 18);
	records_delete(&e.records);
}

/*
 * Guards against a keymap of all nodes' rows that a watcher encodes and sends
 * to each node of its region whenever one row changes its owner.
 */
TEST_F(RelayTest, AChangedKeymapIsForwardedAsOneDelta)
{
	struct ev_store_end e = {};
	struct keymap *before = keymap_new("s");
	struct record *r;
	struct mesh_action *a;
	struct list records;
	struct message *sent = nullptr;
	int actions = 0;

	add_nodes(20, 0);
	for (uint32_t i = 0; i < 1024; i++)
		keymap_append_row(before, i * 64, i * 64 + 63);
	list_init(&records);
	r = record_new(RECORD_KEYMAP, "s");
	r->revision = 45;
	r->u.keymap = keymap_copy(before);
	list_push_back(&records, &r->link);
	directory_apply(&c.dir, &records, false, 50, c.now_ns, &out);
	records_delete(&records);
	list_init(&e.records);
	for (revision_t revision : {51, 52}) {
		r = record_new(RECORD_KEYMAP, "s");
		r->revision = revision;
		keymap_move(before, keymap_find(before, 640),
			    &node(3)->card.upstream, "");
		r->u.keymap = keymap_copy(before);
		list_push_back(&e.records, &r->link);
	}
	e.revision = 52;
	relay_forward_changes(&c, 50, &e);
	while ((a = mesh_actions_pop(&out))) {
		actions += changes_sent(a) > 0;
		if (a->kind == MA_SEND_ALL) {
			sent = a->u.send_all.message;
			a->u.send_all.message = nullptr;
		}
		mesh_action_delete(a);
	}
	EXPECT_EQ(actions, 1);
	ASSERT_NE(sent, nullptr);
	r = list_entry(sent->u.changes.records.next, struct record, link);
	EXPECT_EQ(r->revision, 52u);
	EXPECT_EQ(r->keymap_base, 45u);
	EXPECT_EQ(r->u.keymap->rows.next, r->u.keymap->rows.prev);
	/* A node with the same keymap gets the new one by it. */
	session_on_changes(&session, &c, &sent->u.changes);
	EXPECT_EQ(c.dir.revision, 52u);
	EXPECT_EQ(keymap_find(directory_keymap(&c.dir, "s")->map, 640)->fence,
		  2u);
	message_delete(sent);
	records_delete(&e.records);
	keymap_delete(before);
}

/* It asks the store for the changes instead of passing over some. */
TEST_F(RelayTest, ADeltaToAnUnknownKeymapIsNotApplied)
{
	struct message *m = changes(50, 70);
	struct record *r = record_new(RECORD_KEYMAP, "s");

	add_nodes(20, 7);
	r->revision = 70;
	r->keymap_base = 60;
	r->u.keymap = keymap_new("s");
	keymap_append_row(r->u.keymap, 0, 63);
	list_push_back(&m->u.changes.records, &r->link);
	session_on_changes(&session, &c, &m->u.changes);
	EXPECT_EQ(c.dir.revision, 50u);
	EXPECT_EQ(directory_keymap(&c.dir, "s"), nullptr);
	EXPECT_TRUE(session.want_changes);
	message_delete(m);
}

TEST_F(RelayTest, ChangesAreAppliedOnlyWithoutAGap)
{
	struct message *m = changes(60, 70);
	struct record *r = record_new(RECORD_EVACUATION, "dc1");

	add_nodes(20, 7);
	list_push_back(&m->u.changes.records, &r->link);
	session_on_changes(&session, &c, &m->u.changes);
	EXPECT_EQ(c.dir.revision, 50u);
	EXPECT_FALSE(directory_dc_evacuated(&c.dir, "dc1"));
	m->u.changes.from = 40;
	session_on_changes(&session, &c, &m->u.changes);
	EXPECT_EQ(c.dir.revision, 70u);
	EXPECT_TRUE(directory_dc_evacuated(&c.dir, "dc1"));
	message_delete(m);
}

/* Reports of nodes that lag, too, must not hide that there are changes. */
TEST_F(RelayTest, ALaggingNodePollsThoughOthersLagToo)
{
	add_nodes(20, 7);
	session.want_read_all = false;
	for (int i = 0; i < 20; i++) {
		session_on_revision(&session, &c, i % 5 ? 50 : 51);
		c.now_ns += 100 * NS_PER_MS;
	}
	EXPECT_TRUE(session.want_changes);
	session.want_changes = false;
	c.dir.revision = 51;
	for (int i = 0; i < 20; i++) {
		session_on_revision(&session, &c, i % 5 ? 50 : 51);
		c.now_ns += 100 * NS_PER_MS;
	}
	EXPECT_FALSE(session.want_changes);
	EXPECT_FALSE(session.want_read_all);
}

/* Refused calls are billed, so an outage must not cause repeated reads. */
TEST_F(RelayTest, OnlyRenewalsAreSentDuringAnOutage)
{
	const uint64_t outage_s = 8;
	int calls[CALL_LEASE_END + 1] = {};

	add_nodes(20, 0);
	session.lease = 7;
	session.lease_ttl_ns = 6 * NS_PER_S;
	session.registered = session.fresh = true;
	session.card_dirty = true;
	for (uint64_t t = 0; t < outage_s * 1000; t += 10) {
		struct mesh_action *a;

		c.now_ns += 10 * NS_PER_MS;
		session_work(&session, &c);
		while ((a = mesh_actions_pop(&out))) {
			struct ev_store_end e = {};

			if (a->kind == MA_STORE_CALL) {
				calls[a->u.store.kind]++;
				list_init(&e.records);
				e.op = a->u.store.op;
				e.end = STORE_REFUSED;
				session_note_call_end(&session, &c, e.end);
				session_on_end(&session, &c, &e);
			}
			mesh_action_delete(a);
		}
	}
	EXPECT_LE(calls[CALL_READ_ALL] + calls[CALL_READ_OWN] +
			  calls[CALL_WATCH_ALL] + calls[CALL_WRITE],
		  3);
	EXPECT_GE(calls[CALL_LEASE_KEEP], static_cast<int>(2 * outage_s));
}

/*
 * After a broken connection the watch is never answered. Other nodes must not
 * rely on it, and a new one has to start when the store answers again.
 */
TEST_F(RelayTest, AWatchIsRestartedAfterAnOutage)
{
	uint64_t before;

	add_nodes(20, 0);
	session.want_read_all = false;
	session.lease = 7;
	session.registered = session.fresh = true;
	session.keep.next_ns = UINT64_MAX;
	session_note_call_end(&session, &c, STORE_DONE);
	session_work(&session, &c);
	before = session.watch.op;
	ASSERT_NE(before, 0u);
	EXPECT_TRUE(session_watches(&session, &c));
	session_note_call_end(&session, &c, STORE_NO_ANSWER);
	EXPECT_FALSE(session_watches(&session, &c));
	session_note_call_end(&session, &c, STORE_DONE);
	session_work(&session, &c);
	EXPECT_NE(session.watch.op, 0u);
	EXPECT_NE(session.watch.op, before);
	EXPECT_TRUE(session_watches(&session, &c));
	/* Without answers the store counts as failed. */
	c.now_ns += 2 * NS_PER_S;
	EXPECT_FALSE(session_watches(&session, &c));
}

/* A read overtaken by changes may return no manifest, so it is repeated. */
TEST_F(RelayTest, AChangedManifestIsReadUntilItArrives)
{
	struct message *m = changes(50, 70);
	struct record *r = record_new(RECORD_MANIFEST, "");
	struct ev_store_end e = {};
	struct record *content;

	add_nodes(20, 7);
	session.want_read_all = false;
	r->revision = 66;
	list_push_back(&m->u.changes.records, &r->link);
	session_on_changes(&session, &c, &m->u.changes);
	EXPECT_EQ(c.dir.revision, 70u);
	session_work(&session, &c);
	ASSERT_NE(session.read.op, 0u);
	EXPECT_EQ(session.read_kind, CALL_READ_MANIFEST);
	list_init(&e.records);
	e.op = session.read.op;
	e.end = STORE_DONE;
	session_note_call_end(&session, &c, e.end);
	session_on_end(&session, &c, &e);
	EXPECT_EQ(c.dir.manifest, nullptr) << "that read had no manifest";
	c.now_ns += NS_PER_S;
	session_work(&session, &c);
	ASSERT_NE(session.read.op, 0u);
	content = record_new(RECORD_MANIFEST, "");
	content->revision = 66;
	content->u.manifest = manifest_new();
	content->u.manifest->version = 3;
	list_push_back(&e.records, &content->link);
	e.op = session.read.op;
	session_on_end(&session, &c, &e);
	ASSERT_NE(c.dir.manifest, nullptr);
	EXPECT_EQ(c.dir.manifest->version, 3u);
	EXPECT_EQ(c.dir.revision, 70u);
	c.now_ns += NS_PER_S;
	session_work(&session, &c);
	EXPECT_EQ(session.read.op, 0u);
	records_delete(&e.records);
	message_delete(m);
}

/* A manifest with the routes 0 to @routes - 1. */
static struct manifest *manifest_of(uint64_t version, int routes)
{
	struct manifest *m = manifest_new();

	m->version = version;
	for (int i = 0; i < routes; i++) {
		struct route *r = manifest_add_route(m);

		mem_copy_str(r->name, ("r" + std::to_string(i)).c_str(),
			     sizeof(r->name));
	}
	return m;
}

struct RelayManifestTest : public RelayTest {
	/* This node's manifest has 2,800 routes. */
	void add_manifest()
	{
		struct list records;

		list_init(&records);
		push_manifest(&records, 1, 2800, 40);
		directory_apply(&c.dir, &records, false, 0, c.now_ns, &out);
		records_delete(&records);
	}
	static void push_manifest(struct list *records, uint64_t version,
				  int routes, revision_t revision)
	{
		struct record *r = record_new(RECORD_MANIFEST, "");

		r->revision = revision;
		r->u.manifest = manifest_of(version, routes);
		list_push_back(records, &r->link);
	}
	/* A copy of the first MSG_CHANGES among the actions. */
	struct message *first_changes()
	{
		struct message *found = nullptr;
		struct mesh_action *a;

		while ((a = mesh_actions_pop(&out))) {
			struct message **m = sent_message(a);

			if (!found && m && (*m)->kind == MSG_CHANGES) {
				found = *m;
				*m = nullptr;
			}
			mesh_action_delete(a);
		}
		return found;
	}
	/* What a watcher forwards when @routes routes are in force next. */
	struct message *forwarded_change(int routes)
	{
		struct ev_store_end e = {};
		struct message *m;

		list_init(&e.records);
		push_manifest(&e.records, 2, routes - 1, 51);
		push_manifest(&e.records, 3, routes, 52);
		e.revision = 52;
		relay_forward_changes(&c, 50, &e);
		records_delete(&e.records);
		m = first_changes();
		EXPECT_NE(m, nullptr);
		return m;
	}
};

/*
 * Guards against all nodes reading the whole document from the store for each
 * small change: with a large one they were seconds late, and answered 404 for
 * routes in force.
 */
TEST_F(RelayManifestTest, ASmallChangeOfALargeManifestNeedsNoRead)
{
	struct message *m;

	add_nodes(20, 7);
	add_manifest();
	session.want_read_all = false;
	m = forwarded_change(2803);
	session_on_changes(&session, &c, &m->u.changes);
	EXPECT_EQ(c.dir.manifest->version, 3u);
	EXPECT_EQ(c.dir.manifest_revision, 52u);
	EXPECT_NE(manifest_route(c.dir.manifest, "r2802"), nullptr);
	session_work(&session, &c);
	EXPECT_EQ(session.read.op, 0u);
	message_delete(m);
}

/* A node that missed an earlier change can't use the delta. */
TEST_F(RelayManifestTest, ADeltaOfAnotherManifestCausesARead)
{
	struct message *m;

	add_nodes(20, 7);
	add_manifest();
	session.want_read_all = false;
	m = forwarded_change(2803);
	c.dir.manifest_revision = 30;
	session_on_changes(&session, &c, &m->u.changes);
	EXPECT_EQ(c.dir.manifest->version, 1u);
	session_work(&session, &c);
	EXPECT_NE(session.read.op, 0u);
	EXPECT_EQ(session.read_kind, CALL_READ_MANIFEST);
	message_delete(m);
}

/*
 * Guards against a bound on a delta's routes: when each node of a fleet read
 * the whole document after a large change, many were seconds late.
 */
TEST_F(RelayManifestTest, ALargeChangeNeedsNoRead)
{
	struct message *m;

	add_nodes(20, 7);
	add_manifest();
	session.want_read_all = false;
	m = forwarded_change(4200);
	session_on_changes(&session, &c, &m->u.changes);
	EXPECT_EQ(c.dir.manifest->version, 3u);
	EXPECT_NE(manifest_route(c.dir.manifest, "r4199"), nullptr);
	session_work(&session, &c);
	EXPECT_EQ(session.read.op, 0u);
	message_delete(m);
}

TEST_F(RelayManifestTest, AChangeLargerThanTheManifestIsReadFromTheStore)
{
	struct message *m;

	add_nodes(20, 7);
	add_manifest();
	session.want_read_all = false;
	m = forwarded_change(100);
	session_on_changes(&session, &c, &m->u.changes);
	EXPECT_EQ(c.dir.manifest->version, 1u);
	session_work(&session, &c);
	EXPECT_EQ(session.read_kind, CALL_READ_MANIFEST);
	message_delete(m);
}

/* A change of the manifest is known though changes before it are missing. */
TEST_F(RelayManifestTest, AGapBeforeAChangeDoesNotHideTheManifest)
{
	struct message *m;

	add_nodes(20, 7);
	add_manifest();
	session.want_read_all = false;
	m = forwarded_change(2803);
	m->u.changes.from = 51;
	session_on_changes(&session, &c, &m->u.changes);
	EXPECT_EQ(c.dir.manifest->version, 3u);
	EXPECT_EQ(c.dir.revision, 50u);
	message_delete(m);
}

/*
 * A node that missed changes can't apply later ones, yet it must learn from
 * them that there is a newer manifest: its own may answer 404 wrongly.
 */
TEST_F(RelayTest, ChangesBehindAGapStillShowThatTheManifestIsOld)
{
	struct message *m = changes(60, 70);
	struct record *r = record_new(RECORD_MANIFEST, "");

	add_nodes(20, 7);
	session.want_read_all = false;
	r->revision = 66;
	list_push_back(&m->u.changes.records, &r->link);
	session_on_changes(&session, &c, &m->u.changes);
	EXPECT_EQ(c.dir.revision, 50u);
	EXPECT_TRUE(directory_manifest_outdated(&c.dir));
	session_work(&session, &c);
	ASSERT_NE(session.read.op, 0u);
	EXPECT_EQ(session.read_kind, CALL_READ_MANIFEST);
	message_delete(m);
}

/* Reads of the node's own records must not keep it on an old manifest. */
TEST_F(RelayTest, TheManifestIsReadAlsoWhileCardsAreReadAgainAndAgain)
{
	int manifest_reads = 0;

	add_nodes(20, 7);
	session.want_read_all = false;
	session.lease = 7;
	session.registered = session.fresh = true;
	c.dir.manifest_wanted = 66;
	for (int i = 0; i < 300; i++) {
		struct ev_store_end e = {};

		c.now_ns += 10 * NS_PER_MS;
		/* Each write of the card meets a conflict. */
		session.card_dirty = true;
		session_work(&session, &c);
		for (struct session_call *call :
		     {&session.read, &session.put}) {
			if (!call->op)
				continue;
			manifest_reads +=
				call == &session.read &&
				session.read_kind == CALL_READ_MANIFEST;
			list_init(&e.records);
			e.op = call->op;
			e.end = call == &session.read ? STORE_DONE
						      : STORE_CONFLICT;
			e.revision = 50;
			session_on_end(&session, &c, &e);
		}
	}
	EXPECT_GT(manifest_reads, 0);
}

/*
 * Guards against a watch whose answer is too long to be received, and that is
 * begun anew at the same revision each time.
 */
TEST_F(RelayTest, AWatchThatIsNeverAnsweredIsReplacedByARead)
{
	add_nodes(20, 0);
	session.want_read_all = false;
	session.lease = 7;
	session.registered = session.fresh = true;
	session.keep.next_ns = UINT64_MAX;
	for (int i = 0; i < 2; i++) {
		struct ev_store_end e = {};

		EXPECT_FALSE(session.want_read_all);
		c.now_ns += NS_PER_S;
		session_note_call_end(&session, &c, STORE_DONE);
		session_work(&session, &c);
		ASSERT_NE(session.watch.op, 0u);
		list_init(&e.records);
		e.op = session.watch.op;
		e.end = STORE_NO_ANSWER;
		session_note_call_end(&session, &c, e.end);
		session_on_end(&session, &c, &e);
	}
	EXPECT_TRUE(session.want_read_all);
	session_note_call_end(&session, &c, STORE_DONE);
	c.now_ns += NS_PER_S;
	session_work(&session, &c);
	EXPECT_EQ(session.read_kind, CALL_READ_ALL);
	EXPECT_EQ(session.watch.op, 0u);
}

/*
 * Guards against late nodes in a small region: all of its nodes watch, and with
 * a large document each one's own watch takes long on a slow link.
 */
TEST_F(RelayManifestTest, FirstWatchersOfASmallRegionSendTheDeltaToAll)
{
	for (int own : {0, 4}) {
		struct ev_store_end e = {};
		struct mesh_action *a;
		int sent = 0;

		directory_done(&c.dir);
		directory_init(&c.dir, "r0");
		c.dir.loaded = true;
		add_nodes(6, own);
		for (int i = 0; i < 6; i++)
			node(i)->watches = true;
		add_manifest();
		list_init(&e.records);
		push_manifest(&e.records, 2, 2803, 51);
		e.revision = 51;
		relay_forward_changes(&c, 50, &e);
		records_delete(&e.records);
		while ((a = mesh_actions_pop(&out))) {
			sent += changes_sent(a);
			mesh_action_delete(a);
		}
		EXPECT_EQ(sent, own == 0 ? 5 : 0) << own;
	}
}

/* The text of all log lines among the actions. */
static std::string logged(struct mesh_actions *out)
{
	std::string text;
	struct mesh_action *a;

	while ((a = mesh_actions_pop(out))) {
		if (a->kind == MA_LOG)
			text += std::string(a->u.log.line) + "\n";
		mesh_action_delete(a);
	}
	return text;
}

TEST_F(RelayManifestTest, LogsWhyAKnownManifestIsLateAndHowItCame)
{
	struct message *gap, *m;
	std::string text;

	add_nodes(20, 7);
	add_manifest();
	session.want_read_all = false;
	hold_lease();
	m = forwarded_change(2803);
	gap = changes(60, 70);
	struct record *r = record_new(RECORD_MANIFEST, "");
	r->revision = 52;
	list_push_back(&gap->u.changes.records, &r->link);
	session_on_changes(&session, &c, &gap->u.changes);
	session_work(&session, &c);
	logged(&out);
	for (int i = 0; i < 22; i++) {
		c.now_ns += 100 * NS_PER_MS;
		session_work(&session, &c);
	}
	text = logged(&out);
	EXPECT_NE(text.find("event=config_late why=read_in_progress"),
		  std::string::npos)
		<< text;
	EXPECT_NE(text.find("call=read_manifest call_ms=2000"),
		  std::string::npos)
		<< text;
	EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 2) << text;
	session_on_changes(&session, &c, &m->u.changes);
	text = logged(&out);
	EXPECT_NE(text.find("via=delta known_ms=2200"), std::string::npos)
		<< text;
	message_delete(m);
	message_delete(gap);
}

/*
 * Guards against reads of the whole document by each node that missed one
 * delta: nodes that have the manifest send it. The store is asked only when
 * they don't answer.
 */
TEST_F(RelayManifestTest, AMissedDeltaIsMadeGoodByANodeThatHasTheManifest)
{
	struct message *m;
	struct message *get = nullptr;
	struct mesh_action *a;

	add_nodes(20, 7);
	add_manifest();
	session.want_read_all = false;
	node(3)->manifest_revision = 40;
	m = forwarded_change(4200);
	c.dir.manifest_revision = 30;
	relay_note_sender(&c, node(3)->boot, &m->u.changes);
	session_on_changes(&session, &c, &m->u.changes);
	EXPECT_EQ(c.dir.manifest->version, 1u);
	logged(&out);
	for (int i = 0; i < 3 && !get; i++) {
		session_work(&session, &c);
		EXPECT_EQ(session.read.op, 0u);
		c.now_ns += 100 * NS_PER_MS;
		while ((a = mesh_actions_pop(&out))) {
			if (a->kind == MA_SEND && !get) {
				get = a->u.send.message;
				a->u.send.message = nullptr;
			}
			mesh_action_delete(a);
		}
	}
	ASSERT_NE(get, nullptr);
	EXPECT_EQ(get->kind, MSG_MANIFEST_GET);
	EXPECT_EQ(get->to, node(3)->boot);
	EXPECT_EQ(get->u.manifest_get.revision, 30u);
	/* What a node with the manifest answers, once in a while. */
	struct mesh_ctx other = {};
	struct mesh_opts other_opts = opts;

	other.opts = &other_opts;
	other.out = &out;
	other.now_ns = c.now_ns;
	directory_init(&other.dir, "r0");
	other.dir.manifest = manifest_of(3, 4200);
	other.dir.manifest_revision = 52;
	relay_send_manifest(&other, 1, &get->u.manifest_get);
	relay_send_manifest(&other, 2, &get->u.manifest_get);
	struct message *whole = first_changes();
	ASSERT_NE(whole, nullptr);
	EXPECT_EQ(whole->to, 1u);
	session_on_changes(&session, &c, &whole->u.changes);
	EXPECT_EQ(c.dir.manifest->version, 3u);
	EXPECT_EQ(c.dir.manifest_revision, 52u);
	EXPECT_FALSE(directory_manifest_outdated(&c.dir));
	directory_done(&other.dir);
	message_delete(whole);
	message_delete(get);
	message_delete(m);
}

TEST_F(RelayManifestTest, TheStoreIsAskedWhenNoNodeSendsItsManifest)
{
	add_nodes(20, 7);
	add_manifest();
	session.want_read_all = false;
	hold_lease();
	for (int i = 0; i < 20; i++)
		node(i)->manifest_revision = 52;
	directory_note_manifest(&c.dir, 52, c.now_ns);
	for (int i = 0; i < 15 && !session.read.op; i++) {
		session_work(&session, &c);
		c.now_ns += 100 * NS_PER_MS;
		for (int j = 0; j < 20; j++)
			node(j)->heard_ns = c.now_ns;
	}
	EXPECT_NE(session.read.op, 0u);
	EXPECT_EQ(session.read_kind, CALL_READ_MANIFEST);
}

/* A node of a large region that does not watch, in a calm fleet. */
struct ManifestCurrentTest : public RelayManifestTest {
	ManifestCurrentTest()
	{
		add_nodes(20, 7);
		add_manifest();
		session.want_read_all = false;
		c.dir.peer_revision = 50;
		c.manifest_checked_ns = 0;
	}
	void report(int from, revision_t revision, revision_t manifest,
		    uint64_t delay_ns = 0)
	{
		struct msg_load l = {};

		l.watches = from < 2;
		l.revision = revision;
		l.manifest_revision = manifest;
		l.sent_ns = c.now_ns - delay_ns;
		directory_on_load_report(&c.dir, node(from)->boot, &l,
					 c.now_ns);
	}
	void pass(uint64_t ms)
	{
		c.now_ns += ms * NS_PER_MS;
	}
};

/* Each way in which knowledge of a newer manifest can fail to arrive. */
TEST_F(ManifestCurrentTest, ANodeIsSureOnlyWhileItWouldHearOfAChange)
{
	struct {
		const char *name;
		std::function<void()> happens;
		bool sure;
	} const cases[] = {
		{"a watcher has reported", [&] { report(0, 50, 40); }, true},
		{"it is ahead by other records", [&] { report(0, 55, 40); },
		 true},
		{"of an earlier build, not ahead", [&] { report(0, 50, 0); },
		 true},
		{"of an earlier build, ahead", [&] { report(0, 51, 0); },
		 false},
		{"a node without a watch", [&] { report(5, 50, 40); }, false},
		{"both watchers are silent",
		 [&] {
			 report(0, 50, 40);
			 report(1, 50, 40);
			 pass(2100);
		 },
		 false},
		{"a report was long under way",
		 [&] {
			 report(0, 50, 40);
			 pass(2500);
			 report(0, 50, 40, 2400 * NS_PER_MS);
		 },
		 false},
		{"any node has a newer manifest",
		 [&] {
			 report(0, 50, 40);
			 report(9, 50, 41);
		 },
		 false},
		{"a delta does not apply",
		 [&] {
			 struct message *m = forwarded_change(2803);

			 report(0, 50, 40);
			 c.dir.manifest_revision = 39;
			 session_on_changes(&session, &c, &m->u.changes);
			 c.dir.manifest_revision = 40;
			 message_delete(m);
		 },
		 false},
		{"it has just read the store",
		 [&] { c.manifest_checked_ns = c.now_ns; }, true},
		{"its calls to the store fail since",
		 [&] {
			 c.manifest_checked_ns = c.now_ns;
			 session_note_call_end(&session, &c, STORE_REFUSED);
		 },
		 false},
		{"the same, but a watcher reports",
		 [&] {
			 session_note_call_end(&session, &c, STORE_NO_ANSWER);
			 report(1, 50, 40);
		 },
		 true},
		{"the store has been silent",
		 [&] {
			 c.manifest_checked_ns = c.now_ns;
			 pass(2100);
		 },
		 false},
	};

	for (auto &it : cases) {
		c.now_ns += 100 * NS_PER_S;
		c.store_down = false;
		c.manifest_checked_ns = 0;
		c.dir.manifest_wanted = c.dir.manifest_revision = 40;
		c.dir.manifest_late_since_ns = 0;
		c.dir.manifest_version_known = 0;
		for (int i = 0; i < 20; i++) {
			memset(&node(i)->clock, 0, sizeof(node(i)->clock));
			node(i)->heard_ns = c.now_ns;
		}
		EXPECT_FALSE(relay_manifest_current(&c)) << it.name;
		it.happens();
		EXPECT_EQ(relay_manifest_current(&c), it.sure) << it.name;
	}
}

/* Its own watch is enough for a watcher, while the store answers renewals. */
TEST_F(ManifestCurrentTest, AWatcherIsSureWhileTheStoreAnswers)
{
	session.lease = 7;
	session.registered = session.fresh = true;
	session.keep.next_ns = UINT64_MAX;
	session_note_call_end(&session, &c, STORE_DONE);
	session_work(&session, &c);
	ASSERT_NE(session.watch.op, 0u);
	EXPECT_FALSE(relay_manifest_current(&c));
	for (int i = 0; i < 3; i++) {
		pass(900);
		session_note_call_end(&session, &c, STORE_DONE);
		session_work(&session, &c);
		EXPECT_TRUE(relay_manifest_current(&c));
	}
	pass(2100);
	session_work(&session, &c);
	EXPECT_FALSE(relay_manifest_current(&c));
}

/* A late renewal is sent again, and counts if it is answered after all. */
TEST_F(RelayTest, ALateRenewalStillExtendsTheLease)
{
	struct ev_store_end e = {};
	uint64_t first, sent_ns = c.now_ns;

	add_nodes(20, 0);
	hold_lease();
	session.want_read_all = false;
	session.lease_ttl_ns = 6 * NS_PER_S;
	session.lease_deadline_ns = c.now_ns + NS_PER_S;
	session.keep.next_ns = c.now_ns;
	session_work(&session, &c);
	first = session.keep.op;
	ASSERT_NE(first, 0u);
	for (int i = 0; i < 16; i++) {
		c.now_ns += 100 * NS_PER_MS;
		session_work(&session, &c);
	}
	EXPECT_NE(session.keep.op, 0u);
	EXPECT_NE(session.keep.op, first);
	list_init(&e.records);
	e.op = first;
	e.end = STORE_DONE;
	session_note_call_end(&session, &c, e.end);
	EXPECT_TRUE(session_on_end(&session, &c, &e));
	EXPECT_EQ(session_authority_ns(&session), sent_ns + 6 * NS_PER_S);
	EXPECT_FALSE(session_on_end(&session, &c, &e)) << "once";
}

/* A renewal of a former lease must not extend the present one. */
TEST_F(RelayTest, ALateRenewalOfAFormerLeaseIsIgnored)
{
	struct ev_store_end e = {};
	uint64_t first;

	add_nodes(20, 0);
	hold_lease();
	session.want_read_all = false;
	session.lease_ttl_ns = 6 * NS_PER_S;
	session.keep.next_ns = c.now_ns;
	session_work(&session, &c);
	first = session.keep.op;
	c.now_ns += NS_PER_S;
	session_work(&session, &c);
	session.lease = 8;
	session.lease_deadline_ns = 5;
	list_init(&e.records);
	e.op = first;
	e.end = STORE_DONE;
	session_on_end(&session, &c, &e);
	EXPECT_EQ(session_authority_ns(&session), 5u);
	e.end = STORE_NO_LEASE;
	session_on_end(&session, &c, &e);
	EXPECT_EQ(session.lease, 8u);
}

/* A slow read of all records must not keep a node from asking another one. */
TEST_F(RelayManifestTest, ANodeIsAskedAlsoWhileAReadIsInProgress)
{
	bool asked = false;
	struct mesh_action *a;

	add_nodes(20, 7);
	add_manifest();
	hold_lease();
	session.want_read_all = true;
	session_work(&session, &c);
	ASSERT_NE(session.read.op, 0u);
	node(3)->manifest_revision = 52;
	directory_note_manifest(&c.dir, 52, c.now_ns);
	for (int i = 0; i < 3; i++) {
		session_work(&session, &c);
		c.now_ns += 100 * NS_PER_MS;
	}
	while ((a = mesh_actions_pop(&out))) {
		asked |= a->kind == MA_SEND &&
			 a->u.send.message->kind == MSG_MANIFEST_GET;
		mesh_action_delete(a);
	}
	EXPECT_TRUE(asked);
}
