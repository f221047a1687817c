#include "jd_test.hpp"

extern "C" {
#include "core/directory.h"
#include "core/mem.h"
}

struct DirectoryTest : public ::testing::Test {
	struct directory d;
	struct mesh_actions out;
	struct list records;

	DirectoryTest()
	{
		directory_init(&d, "r1");
		mesh_actions_init(&out);
		list_init(&records);
	}
	~DirectoryTest() override
	{
		directory_done(&d);
		mesh_actions_done(&out);
		records_delete(&records);
	}
	struct record *add(enum record_kind kind, const char *name,
			   uint64_t revision)
	{
		struct record *r = record_new(kind, name);

		r->revision = revision;
		list_push_back(&records, &r->link);
		return r;
	}
	void add_card(const char *name, uint64_t revision)
	{
		struct node_card *c = &add(RECORD_CARD, name, revision)->u.card;

		mem_copy_str(c->node, name, sizeof(c->node));
		mem_copy_str(c->dc, "dc", sizeof(c->dc));
		mem_copy_str(c->region, "r1", sizeof(c->region));
		mem_copy_str(c->service, "s", sizeof(c->service));
		mem_copy_str(c->upstream.instance, "i",
			     sizeof(c->upstream.instance));
		c->boot = revision;
		c->slots = 4;
	}
	void add_config(uint64_t version, uint64_t revision)
	{
		struct manifest *m = manifest_new();

		m->version = version;
		add(RECORD_MANIFEST, "", revision)->u.manifest = m;
	}
	void apply(bool complete, uint64_t revision)
	{
		directory_apply(&d, &records, complete, revision, NS_PER_S,
				&out);
		records_delete(&records);
	}
};

TEST_F(DirectoryTest, AnOlderConfigurationIsRejected)
{
	add_config(7, 10);
	apply(true, 10);
	add_config(6, 11);
	apply(false, 11);
	EXPECT_EQ(d.manifest->version, 7u);
	add_config(8, 12);
	apply(false, 12);
	EXPECT_EQ(d.manifest->version, 8u);
}

TEST_F(DirectoryTest, AnInvalidRecordIsIgnored)
{
	add_config(7, 10);
	apply(true, 10);
	add(RECORD_MANIFEST, "", 11)->invalid = true;
	apply(false, 11);
	EXPECT_EQ(d.manifest->version, 7u);
}

/*
 * An invalid manifest is not read again and again, and the one in force counts
 * as outdated until a valid one comes: it can't say which routes exist.
 */
TEST_F(DirectoryTest, AnInvalidManifestIsReadOnceAndMakesTheLastOneOutdated)
{
	add_config(7, 10);
	apply(true, 10);
	EXPECT_FALSE(directory_manifest_outdated(&d));
	d.manifest_wanted = 11;
	EXPECT_TRUE(directory_wants_manifest(&d));
	EXPECT_TRUE(directory_manifest_outdated(&d));
	add(RECORD_MANIFEST, "", 11)->invalid = true;
	apply(false, 0);
	EXPECT_FALSE(directory_wants_manifest(&d));
	EXPECT_TRUE(directory_manifest_outdated(&d));
	/* As a watcher sees it, which nobody has told of it before. */
	d.manifest_wanted = 0;
	EXPECT_TRUE(directory_manifest_outdated(&d));
	d.manifest_wanted = 11;
	add_config(8, 12);
	apply(false, 0);
	EXPECT_EQ(d.manifest->version, 8u);
	EXPECT_FALSE(directory_wants_manifest(&d));
	EXPECT_FALSE(directory_manifest_outdated(&d));
}

/*
 * Guards against CONFIG after the store came back from an older copy: its
 * revisions are given out again, so that the newer version has the smaller one.
 */
TEST_F(DirectoryTest, ANewerVersionOfALaterEraIsTakenAtASmallerRevision)
{
	add_config(11, revision_make(1, 19));
	apply(true, revision_make(1, 19));
	add_config(14, revision_make(2, 15));
	apply(true, revision_make(2, 16));
	EXPECT_EQ(d.manifest->version, 14u);
	EXPECT_EQ(d.revision, revision_make(2, 16));
	/* A late answer of the earlier era changes nothing. */
	add_config(12, revision_make(1, 25));
	apply(true, revision_make(1, 25));
	EXPECT_EQ(d.manifest->version, 14u);
	EXPECT_EQ(d.revision, revision_make(2, 16));
}

TEST_F(DirectoryTest, ARestoredOlderVersionIsNotTakenNorReadAgain)
{
	add_config(11, revision_make(1, 19));
	apply(true, revision_make(1, 19));
	d.manifest_wanted = revision_make(2, 14);
	EXPECT_TRUE(directory_wants_manifest(&d));
	add_config(4, revision_make(2, 14));
	apply(true, revision_make(2, 15));
	EXPECT_EQ(d.manifest->version, 11u);
	/* Deltas apply to the manifest in force. */
	EXPECT_EQ(d.manifest_revision, revision_make(1, 19));
	EXPECT_FALSE(directory_wants_manifest(&d));
	EXPECT_FALSE(directory_manifest_outdated(&d));
	/* The operators write the one in force again. */
	add_config(11, revision_make(2, 16));
	apply(false, revision_make(2, 16));
	EXPECT_EQ(d.manifest_revision, revision_make(2, 16));
}

/*
 * Requests were run as an older version says: changes that other nodes passed
 * on during a slow read of all records made the node drop it, with the
 * manifest.
 */
TEST_F(DirectoryTest, AReadOvertakenByChangesStillBringsTheManifest)
{
	add_config(4, revision_make(1, 10));
	apply(true, revision_make(1, 12));
	d.manifest_wanted = revision_make(1, 14);
	apply(false, revision_make(1, 24));
	add_config(7, revision_make(1, 14));
	add(RECORD_EVACUATION, "dc", revision_make(1, 13));
	apply(true, revision_make(1, 15));
	EXPECT_EQ(d.manifest->version, 7u);
	EXPECT_FALSE(directory_wants_manifest(&d));
	/* It may have been removed since. */
	EXPECT_FALSE(directory_dc_evacuated(&d, "dc"));
	EXPECT_EQ(d.revision, revision_make(1, 24));
}

/*
 * The answer to a watch that was made again comes late: an evacuation that has
 * ended since must not begin anew.
 */
TEST_F(DirectoryTest, ALateWatchRestoresNoEvacuation)
{
	apply(true, revision_make(1, 9));
	add(RECORD_EVACUATION, "dc", revision_make(1, 12));
	list_entry(records.prev, struct record, link)->removed = true;
	apply(false, revision_make(1, 12));
	add(RECORD_EVACUATION, "dc", revision_make(1, 10));
	apply(false, revision_make(1, 10));
	EXPECT_FALSE(directory_dc_evacuated(&d, "dc"));
}

TEST_F(DirectoryTest, AnotherNodesNewerVersionMakesTheManifestOutdated)
{
	struct msg_load l = {};

	add_config(4, revision_make(2, 14));
	apply(true, revision_make(2, 15));
	l.manifest_version = 4;
	directory_on_load_report(&d, 77, &l, NS_PER_S);
	EXPECT_FALSE(directory_manifest_outdated(&d));
	l.manifest_version = 11;
	directory_on_load_report(&d, 77, &l, NS_PER_S);
	EXPECT_TRUE(directory_manifest_outdated(&d));
	EXPECT_FALSE(directory_wants_manifest(&d)) << "the store lacks it";
	add_config(12, revision_make(2, 16));
	apply(false, revision_make(2, 16));
	EXPECT_FALSE(directory_manifest_outdated(&d));
}

TEST_F(DirectoryTest, AnEvacuationLostByTheStoreEndsOnlyWhenTheEraIsSettled)
{
	add(RECORD_EVACUATION, "dc", revision_make(1, 18));
	add(RECORD_EVACUATION, "dc2", revision_make(1, 5));
	apply(true, revision_make(1, 19));
	directory_note_era(&d, 2, 7 * NS_PER_S);
	add(RECORD_EVACUATION, "dc2", revision_make(2, 5));
	apply(true, revision_make(2, 15));
	EXPECT_TRUE(directory_dc_evacuated(&d, "dc"));
	EXPECT_TRUE(d.evacuations_kept);
	/* One that the new era has shown ends as ever. */
	add(RECORD_EVACUATION, "dc2", revision_make(2, 16))->removed = true;
	apply(false, revision_make(2, 16));
	EXPECT_FALSE(directory_dc_evacuated(&d, "dc2"));
	directory_apply(&d, &records, true, revision_make(2, 17), 7 * NS_PER_S,
			&out);
	EXPECT_FALSE(directory_dc_evacuated(&d, "dc"));
	EXPECT_FALSE(d.evacuations_kept);
}

TEST_F(DirectoryTest, AnEvacuationWrittenAgainInTheNewEraIsKept)
{
	add(RECORD_EVACUATION, "dc", revision_make(1, 18));
	apply(true, revision_make(1, 19));
	directory_note_era(&d, 2, 7 * NS_PER_S);
	apply(true, revision_make(2, 15));
	add(RECORD_EVACUATION, "dc", revision_make(2, 16));
	apply(false, revision_make(2, 16));
	add(RECORD_EVACUATION, "dc", revision_make(2, 16));
	directory_apply(&d, &records, true, revision_make(2, 17), 8 * NS_PER_S,
			&out);
	EXPECT_TRUE(directory_dc_evacuated(&d, "dc"));
}

TEST_F(DirectoryTest, RecordsMissingFromACompleteReadAreRemoved)
{
	add_card("a", 3);
	add_card("b", 4);
	add(RECORD_EVACUATION, "dc", 5);
	apply(true, 5);
	EXPECT_TRUE(directory_dc_evacuated(&d, "dc"));
	add_card("b", 4);
	apply(true, 9);
	EXPECT_EQ(directory_node(&d, "a")->revision, 0u);
	EXPECT_EQ(directory_node(&d, "b")->revision, 4u);
	EXPECT_FALSE(directory_dc_evacuated(&d, "dc"));
}

TEST_F(DirectoryTest, AnOlderCompleteReadIsIgnored)
{
	add_card("a", 3);
	apply(true, 9);
	apply(true, 8);
	EXPECT_EQ(directory_node(&d, "a")->revision, 3u);
}

TEST_F(DirectoryTest, ASilentGateIsNotUsable)
{
	struct msg_load l = {};
	struct dir_node *n;

	add_card("a", 3);
	apply(true, 3);
	mem_copy_str(l.node, "a", sizeof(l.node));
	l.load.open = true;
	n = directory_on_load_report(&d, 77, &l, 2 * NS_PER_S);
	ASSERT_NE(n, nullptr);
	EXPECT_EQ(directory_by_boot(&d, 77), n);
	EXPECT_TRUE(directory_usable(&d, n, 2 * NS_PER_S));
	EXPECT_FALSE(
		directory_usable(&d, n, 2 * NS_PER_S + DIR_SILENCE_MIN_NS));
}

TEST_F(DirectoryTest, TheSilenceLimitGrowsWithTheReportInterval)
{
	struct msg_load l = {};
	struct dir_node *n;

	add_card("a", 3);
	apply(true, 3);
	mem_copy_str(l.node, "a", sizeof(l.node));
	l.load.open = true;
	n = directory_on_load_report(&d, 77, &l, 2 * NS_PER_S);
	d.report_interval_ns = NS_PER_S;
	EXPECT_TRUE(directory_usable(&d, n, 6 * NS_PER_S));
	EXPECT_FALSE(directory_usable(&d, n, 8 * NS_PER_S));
}

TEST_F(DirectoryTest, AnUnansweredProbeMakesAGateUnusable)
{
	struct msg_load l = {};
	struct dir_node *n;

	add_card("a", 3);
	apply(true, 3);
	mem_copy_str(l.node, "a", sizeof(l.node));
	l.load.open = true;
	n = directory_on_load_report(&d, 77, &l, 2 * NS_PER_S);
	d.report_interval_ns = 4 * NS_PER_S;
	n->probed_ns = 3 * NS_PER_S;
	EXPECT_TRUE(
		directory_usable(&d, n, 3 * NS_PER_S + DIR_PROBE_TIMEOUT_NS));
	EXPECT_FALSE(directory_usable(&d, n,
				      3 * NS_PER_S + DIR_PROBE_TIMEOUT_NS + 1));
	directory_on_load_report(&d, 77, &l, 4 * NS_PER_S);
	EXPECT_TRUE(directory_usable(&d, n, 6 * NS_PER_S));
}

TEST_F(DirectoryTest, APartialReadKeepsOtherRecordsAndTheRevision)
{
	add(RECORD_EVACUATION, "dc1", 4);
	add_card("a", 3);
	add_card("b", 3);
	apply(true, 9);
	add_card("a", 12);
	directory_apply_partial(&d, &records, 12, NS_PER_S, &out);
	records_delete(&records);
	EXPECT_TRUE(directory_dc_evacuated(&d, "dc1"));
	EXPECT_EQ(directory_node(&d, "a")->revision, 12u);
	EXPECT_EQ(directory_node(&d, "b")->revision, 0u);
	/* A watch from that revision on brings a card older than the read's. */
	EXPECT_EQ(d.revision, 9u);
	add_card("a", 10);
	apply(false, 10);
	EXPECT_EQ(directory_node(&d, "a")->revision, 12u);
}

/* The read was made before changes that a watch has reported meanwhile. */
TEST_F(DirectoryTest, AnOutdatedPartialReadRestoresNoRemovedCard)
{
	add_card("a", 3);
	apply(true, 9);
	add_card("b", 11);
	add(RECORD_CARD, "a", 12)->removed = true;
	apply(false, 12);
	add_card("a", 3);
	directory_apply_partial(&d, &records, 9, NS_PER_S, &out);
	records_delete(&records);
	EXPECT_EQ(directory_node(&d, "a")->revision, 0u);
	EXPECT_EQ(directory_node(&d, "b")->revision, 11u);
	add_card("a", 13);
	apply(false, 13);
	EXPECT_EQ(directory_node(&d, "a")->revision, 13u);
}

/* The first reports of a process, which carry its node's name, may be lost. */
TEST_F(DirectoryTest, ARestartedProcessIsIdentifiedByItsCard)
{
	struct msg_load l = {};
	struct dir_node *n;

	add_card("a", 3);
	apply(true, 3);
	mem_copy_str(l.node, "a", sizeof(l.node));
	l.load.open = true;
	directory_on_load_report(&d, 3, &l, 2 * NS_PER_S);
	add_card("a", 8);
	apply(false, 8);
	l.node[0] = 0;
	n = directory_on_load_report(&d, 8, &l, 100 * NS_PER_S);
	ASSERT_NE(n, nullptr);
	EXPECT_TRUE(directory_usable(&d, n, 100 * NS_PER_S));
}

/*
 * A store from an older copy shows the card of the process before: requests
 * must go on to the one that sends reports.
 */
TEST_F(DirectoryTest, ARestoredCardDoesNotReplaceALiveProcess)
{
	struct msg_load l = {};
	struct dir_node *n;
	const uint64_t now = 2 * NS_PER_S;

	add_card("a", revision_make(1, 8));
	apply(true, revision_make(1, 9));
	l.load.open = true;
	n = directory_on_load_report(&d, revision_make(1, 8), &l, now);
	ASSERT_NE(n, nullptr);
	add_card("a", revision_make(2, 3));
	directory_apply(&d, &records, true, revision_make(2, 5), now, &out);
	records_delete(&records);
	EXPECT_EQ(n->boot, revision_make(1, 8));
	EXPECT_EQ(n->heard_ns, now);
	EXPECT_EQ(n->revision, revision_make(2, 3));
	/* It was the card of a new process all the same. */
	EXPECT_EQ(directory_on_load_report(&d, revision_make(2, 3), &l, now),
		  nullptr);
	EXPECT_EQ(directory_on_load_report(&d, revision_make(2, 3), &l,
					   now + DIR_SILENCE_MIN_NS),
		  n);
	EXPECT_EQ(n->boot, revision_make(2, 3));
	/* Later cards are of the process that writes them. */
	add_card("a", revision_make(2, 7));
	apply(false, revision_make(2, 7));
	EXPECT_EQ(n->boot, revision_make(2, 7));
}

/* As it has sent no card yet, and the restored one says otherwise. */
TEST_F(DirectoryTest, ALiveNodesReportOutweighsItsRestoredCard)
{
	struct msg_load l = {};
	struct list candidates;
	struct dir_node *n;

	add_card("a", revision_make(1, 8));
	apply(true, revision_make(1, 9));
	n = directory_on_load_report(&d, revision_make(1, 8), &l, NS_PER_S);
	ASSERT_NE(n, nullptr);
	add_card("a", revision_make(2, 3));
	apply(true, revision_make(2, 5));
	EXPECT_FALSE(directory_usable(&d, n, NS_PER_S));
	list_init(&candidates);
	directory_candidates(&d, "s", NS_PER_S, &candidates);
	EXPECT_TRUE(list_empty(&candidates));
	candidates_delete(&candidates);
}

TEST_F(DirectoryTest, AGateWithoutReportsIsUsableByItsCard)
{
	add_card("a", 3);
	apply(true, 3);
	EXPECT_TRUE(directory_usable(&d, directory_node(&d, "a"), NS_PER_S));
}

TEST_F(DirectoryTest, OnlyUpstreamsWithOpenGatesAreCandidates)
{
	struct msg_load l = {};
	struct list candidates;

	list_init(&candidates);
	add_card("a", 3);
	add_card("b", 4);
	apply(true, 4);
	mem_copy_str(l.node, "a", sizeof(l.node));
	directory_on_load_report(&d, 77, &l, NS_PER_S);
	l.load.open = true;
	mem_copy_str(l.node, "b", sizeof(l.node));
	directory_on_load_report(&d, 78, &l, NS_PER_S);
	directory_candidates(&d, "s", NS_PER_S, &candidates);
	ASSERT_FALSE(list_empty(&candidates));
	EXPECT_EQ(candidates.next, candidates.prev);
	candidates_delete(&candidates);
}

TEST(PeerClock, ReturnsTheDelayBeyondTheFastestMessage)
{
	struct peer_clock pc = {};
	const uint64_t offset = 1000 * NS_PER_S;
	uint64_t now = 5000 * NS_PER_S;

	/* The sender's clock is 1000 s behind; transit takes 1 ms. */
	for (int i = 0; i < 10; i++) {
		now += 100 * NS_PER_MS;
		EXPECT_EQ(peer_clock_delay_ns(&pc, now - offset - NS_PER_MS,
					      now),
			  0u);
	}
	EXPECT_EQ(peer_clock_delay_ns(&pc, now - offset - 301 * NS_PER_MS, now),
		  300 * NS_PER_MS);
	/* After a step of a clock, two windows give a new minimum. */
	for (int i = 0; i < 250; i++) {
		now += 100 * NS_PER_MS;
		peer_clock_delay_ns(&pc, now - offset - 51 * NS_PER_MS, now);
	}
	EXPECT_EQ(peer_clock_delay_ns(&pc, now - offset - 51 * NS_PER_MS, now),
		  0u);
}
