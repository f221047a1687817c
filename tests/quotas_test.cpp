// Load answered: requests of an organisation with a quota at one node, which
// keeps it itself or asks another one.
#include "jd_test.hpp"

extern "C" {
#include "core/mem.h"
#include "core/organisations/quotas.h"
}

/* Node n0 with the organisation "o"; its key's owner is n0 or n1. */
struct QuotasTest : public ::testing::Test {
	struct mesh_opts opts = {};
	struct mesh_ctx c = {};
	struct mesh_actions out;
	struct holder holder;
	struct quotas q;
	char id[3] = "id";
	struct pending_request p[4] = {};
	uint64_t revision = 10;

	QuotasTest()
	{
		mem_copy_str(opts.node, "n0", sizeof(opts.node));
		mem_copy_str(opts.peer_addr, "a0", sizeof(opts.peer_addr));
		opts.boot = 1;
		opts.quota_window_ns = 5 * NS_PER_S;
		opts.quota_overage = 0.1;
		opts.quota_slack = 20;
		mesh_actions_init(&out);
		c.opts = &opts;
		c.out = &out;
		c.now_ns = 100 * NS_PER_S;
		directory_init(&c.dir, "r0");
		rng_init(&c.rng, 1);
		holder_init(&holder, &opts, c.now_ns);
		quotas_init(&q);
		for (auto &x : p) {
			list_init(&x.quota.link);
			mem_copy_str(x.organisation, "o", JD_NAME_MAX);
			x.caller_id = id;
			x.objective_at_ns = c.now_ns + NS_PER_S;
		}
		configure(10);
		add_node("n0", 1);
		add_node("n1", 2);
	}
	~QuotasTest() override
	{
		quotas_done(&q);
		holder_done(&holder);
		directory_done(&c.dir);
		mesh_actions_done(&out);
	}
	void configure(double rate)
	{
		struct manifest *m = manifest_new();
		struct organisation *o = manifest_add_organisation(m);
		struct service *s;

		mem_copy_str(o->name, "o", sizeof(o->name));
		o->rate_per_s = rate;
		o->burst = rate;
		s = manifest_add_service(m);
		mem_copy_str(s->name, "b", sizeof(s->name));
		s->keyed = true;
		s = manifest_add_service(m);
		mem_copy_str(s->name, "a", sizeof(s->name));
		manifest_delete(c.dir.manifest);
		c.dir.manifest = m;
		c.dir.manifest_revision = ++revision;
	}
	void apply(struct record *r)
	{
		struct list records;

		list_init(&records);
		list_push_back(&records, &r->link);
		r->revision = ++revision;
		directory_apply(&c.dir, &records, false, revision, c.now_ns,
				&out);
		records_delete(&records);
	}
	void add_node(const char *name, uint64_t boot)
	{
		struct record *r = record_new(RECORD_CARD, name);

		r->u.card.boot = boot;
		mem_copy_str(r->u.card.peer_addr, name,
			     sizeof(r->u.card.peer_addr));
		apply(r);
	}
	void keep_at(const char *node)
	{
		struct record *r = record_new(RECORD_KEYMAP, "b");
		struct keymap *m = keymap_new("b");
		struct keyrow *row = keymap_append_row(m, 0, KEYMAP_KEYS - 1);

		mem_copy_str(row->owner.node, node, JD_NODE_NAME_MAX);
		row->fence = 3;
		r->u.keymap = m;
		apply(r);
	}
	void hold(uint64_t fence)
	{
		struct held_row *row = mem_new(struct held_row);

		row->to = KEYMAP_KEYS - 1;
		row->fence = fence;
		list_push_front(&holder.granted, &row->link);
		holder.usable_until_ns = c.now_ns + 60 * NS_PER_S;
	}
	/* The message sent last, if it is of @kind; all others are dropped. */
	struct message sent(enum message_kind kind)
	{
		struct message m = {};
		struct mesh_action *a;

		while ((a = mesh_actions_pop(&out))) {
			if (a->kind == MA_SEND &&
			    a->u.send.message->kind == kind)
				m = *a->u.send.message;
			mesh_action_delete(a);
		}
		return m;
	}
	std::string logged(const char *event)
	{
		std::string line;
		struct mesh_action *a;

		while ((a = mesh_actions_pop(&out))) {
			if (a->kind == MA_LOG && strstr(a->u.log.line, event))
				line = a->u.log.line;
			mesh_action_delete(a);
		}
		return line;
	}
	struct msg_quota_grant ask(uint64_t requests)
	{
		struct msg_quota_ask a = {};

		mem_copy_str(a.account, "o", sizeof(a.account));
		a.requests = requests;
		a.sent_ns = 5;
		quotas_on_ask(&q, &c, &holder, 2, &a);
		return sent(MSG_QUOTA_GRANT).u.quota_grant;
	}
};

TEST_F(QuotasTest, NothingIsDoneWithoutALimit)
{
	configure(0);
	keep_at("n1");
	EXPECT_EQ(quotas_admit(&q, &c, &p[0]), QUOTA_PASSES);
	quotas_work(&q, &c, &holder);
	EXPECT_EQ(quotas_next_ns(&q), UINT64_MAX);
	EXPECT_EQ(sent(MSG_QUOTA_ASK).to, 0u);
	p[1].organisation[0] = '\0';
	configure(10);
	EXPECT_EQ(quotas_admit(&q, &c, &p[1]), QUOTA_PASSES);
}

TEST_F(QuotasTest, ARequestWaitsForTheAnswerOfTheKeysOwner)
{
	struct msg_quota_grant g = {};
	struct message m;

	keep_at("n1");
	EXPECT_EQ(quotas_admit(&q, &c, &p[0]), QUOTA_WAITS);
	quotas_work(&q, &c, &holder);
	m = sent(MSG_QUOTA_ASK);
	ASSERT_EQ(m.to, 2u);
	EXPECT_STREQ(m.u.quota_ask.account, "o");
	EXPECT_EQ(m.u.quota_ask.requests, 1u);
	mem_copy_str(g.account, "o", sizeof(g.account));
	g.sent_ns = m.u.quota_ask.sent_ns;
	g.requests = 1;
	g.valid_ns = NS_PER_S;
	quotas_on_grant(&q, &c, &g);
	EXPECT_EQ(quotas_next_decided(&q, &c), &p[0]);
	EXPECT_EQ(p[0].quota.verdict, QUOTA_PASSES);
}

TEST_F(QuotasTest, TheOwnBucketNeedsNoMessage)
{
	keep_at("n0");
	hold(3);
	quotas_work(&q, &c, &holder);
	c.now_ns += NS_PER_S;
	EXPECT_EQ(quotas_admit(&q, &c, &p[0]), QUOTA_WAITS);
	quotas_work(&q, &c, &holder);
	EXPECT_EQ(quotas_next_decided(&q, &c), &p[0]);
	EXPECT_EQ(p[0].quota.verdict, QUOTA_PASSES);
	EXPECT_EQ(sent(MSG_QUOTA_ASK).to, 0u);
}

TEST_F(QuotasTest, OnlyAHolderOfTheKeyGivesOut)
{
	EXPECT_TRUE(ask(2).unknown);
	hold(3);
	quotas_work(&q, &c, &holder);
	c.now_ns += NS_PER_S;
	EXPECT_EQ(ask(2).requests, 2u);
	/* The key was elsewhere meanwhile. */
	hold(4);
	EXPECT_EQ(ask(2).requests, 0u);
	c.now_ns = holder.usable_until_ns;
	EXPECT_TRUE(ask(2).unknown);
}

TEST_F(QuotasTest, AKeeperWithoutTheLimitGrantsAll)
{
	configure(0);
	hold(3);
	EXPECT_EQ(ask(50).requests, 50u);
}

TEST_F(QuotasTest, AChangedLimitIsInForceAtOnce)
{
	hold(3);
	quotas_work(&q, &c, &holder);
	c.now_ns += 10 * NS_PER_S;
	quotas_work(&q, &c, &holder);
	configure(4);
	EXPECT_EQ(ask(100).requests, 4u);
}

TEST_F(QuotasTest, ARefusalNamesTheQuotaAndWhatIsKnownOfIt)
{
	std::string line;

	keep_at("n0");
	hold(3);
	configure(0.01);
	ask(100);
	p[0].objective_at_ns = c.now_ns + NS_PER_S;
	quotas_admit(&q, &c, &p[0]);
	quotas_work(&q, &c, &holder);
	ASSERT_EQ(quotas_next_decided(&q, &c), &p[0]);
	EXPECT_EQ(p[0].quota.verdict, QUOTA_OVER);
	EXPECT_GT(p[0].retry_after_ns, 0u);
	line = logged("event=quota_refused");
	EXPECT_NE(line.find("id=id organisation=o why=over_quota "
			    "rate_per_s=0.010"),
		  std::string::npos)
		<< line;
	EXPECT_NE(line.find(" share=0 share_age_ms=0 "), std::string::npos)
		<< line;
}

TEST_F(QuotasTest, WithoutAKeeperARequestIsRefusedAfterItsHold)
{
	EXPECT_EQ(quotas_admit(&q, &c, &p[0]), QUOTA_WAITS);
	quotas_work(&q, &c, &holder);
	EXPECT_EQ(quotas_next_decided(&q, &c), nullptr);
	c.now_ns += NS_PER_S / 4;
	quotas_work(&q, &c, &holder);
	ASSERT_EQ(quotas_next_decided(&q, &c), &p[0]);
	EXPECT_EQ(p[0].quota.verdict, QUOTA_NO_SHARE);
	EXPECT_NE(logged("event=quota_refused").find("keeper=none"),
		  std::string::npos);
}

TEST_F(QuotasTest, AnEndedRequestLeavesTheLists)
{
	keep_at("n1");
	quotas_admit(&q, &c, &p[0]);
	quotas_forget(&q, &p[0]);
	c.now_ns += NS_PER_S;
	quotas_work(&q, &c, &holder);
	EXPECT_EQ(quotas_next_decided(&q, &c), nullptr);
	EXPECT_EQ(sent(MSG_QUOTA_ASK).to, 0u);
}

TEST_F(QuotasTest, WithoutItsLimitWhatWaitsPasses)
{
	keep_at("n1");
	quotas_admit(&q, &c, &p[0]);
	configure(0);
	quotas_work(&q, &c, &holder);
	ASSERT_EQ(quotas_next_decided(&q, &c), &p[0]);
	EXPECT_EQ(p[0].quota.verdict, QUOTA_PASSES);
	EXPECT_EQ(quotas_next_ns(&q), UINT64_MAX);
}

/*
 * Load: an organisation with a third of all requests, below its quota. The
 * keeper of a part is lost, and its keys stay without an owner for seconds.
 */
TEST_F(QuotasTest, ALargeQuotaOutlivesTheLossOfAKeeper)
{
	struct msg_quota_ask first, second;
	struct msg_quota_grant g = {};

	configure(100);
	keep_at("n1");
	EXPECT_EQ(quotas_admit(&q, &c, &p[0]), QUOTA_WAITS);
	quotas_work(&q, &c, &holder);
	first = sent(MSG_QUOTA_ASK).u.quota_ask;
	c.now_ns += 70 * NS_PER_MS;
	quotas_work(&q, &c, &holder);
	EXPECT_EQ(quotas_next_decided(&q, &c), nullptr) << "tries another part";
	quotas_work(&q, &c, &holder);
	second = sent(MSG_QUOTA_ASK).u.quota_ask;
	EXPECT_STRNE(first.account, second.account);
	mem_copy_str(g.account, second.account, sizeof(g.account));
	g.sent_ns = second.sent_ns;
	g.requests = 1;
	g.valid_ns = NS_PER_S;
	quotas_on_grant(&q, &c, &g);
	EXPECT_EQ(quotas_next_decided(&q, &c), &p[0]);
	EXPECT_EQ(p[0].quota.verdict, QUOTA_PASSES);
}

/* The lost keeper is tried again, but callers wait for it seldom. */
TEST_F(QuotasTest, ASilentPartIsTriedSeldom)
{
	struct quota_pool *pool;

	configure(100);
	keep_at("n1");
	quotas_admit(&q, &c, &p[0]);
	pool = list_entry(q.share.active.next, struct quota_pool, active);
	pool->silent_since_ns = c.now_ns;
	EXPECT_FALSE(quota_share_unlikely(pool, c.now_ns));
	EXPECT_TRUE(quota_share_unlikely(pool, c.now_ns + 400 * NS_PER_MS));
	EXPECT_FALSE(quota_share_unlikely(pool, c.now_ns + 600 * NS_PER_MS));
	quotas_forget(&q, &p[0]);
}

/* All parts and all cut-off nodes stay within the bound of the whole quota. */
TEST_F(QuotasTest, ThePartsTogetherAreTheQuota)
{
	const double window_s = 5;

	for (double rate : {10.0, 49.0, 60.0, 80.0, 366.0, 5000.0}) {
		const struct quota_pool *pool;
		double run = 0, cut_off = 0;

		configure(rate);
		keep_at("n1");
		quotas_work(&q, &c, &holder);
		list_for_each_entry(pool, &q.share.pools, link) {
			run += pool->rule.capacity +
			       pool->rule.refill_per_s *
				       (window_s + (double)pool->rule.valid_ns /
							   (double)NS_PER_S);
			cut_off += pool->rule.cut_off;
		}
		EXPECT_LE(run + cut_off, 1.1 * (rate * window_s + rate) + 20.01)
			<< rate;
		EXPECT_GT(cut_off, 0) << "of the entry's first part";
	}
}

/* While a raised limit spreads, an older configuration lacks a part. */
TEST_F(QuotasTest, APartOfAnotherConfigurationIsNotUnlimited)
{
	struct msg_quota_ask a = {};

	configure(10);
	keep_at("n0");
	hold(3);
	quotas_work(&q, &c, &holder);
	mem_copy_str(a.account,
		     "o\x1f"
		     "2",
		     sizeof(a.account));
	a.requests = 5;
	quotas_on_ask(&q, &c, &holder, 2, &a);
	EXPECT_TRUE(sent(MSG_QUOTA_GRANT).u.quota_grant.unknown);
}
