// A fleet's banks and shares of one quota, joined by a queue with delays.
#ifndef JD_TESTS_QUOTA_SIM_HPP
#define JD_TESTS_QUOTA_SIM_HPP

#include "jd_test.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <vector>

extern "C" {
#include "core/organisations/quota_bank.h"
#include "core/organisations/quota_share.h"
}

#define SIM_MS NS_PER_MS

struct QuotaNode {
	struct quota_share share;
	struct quota_bank bank;
	uint64_t boot = 1;
	bool cut = false;
	bool down = false;
	std::vector<std::unique_ptr<struct quota_waiter>> waiters;
};

struct QuotaFleet {
	struct quota_opts opts = {50, 50, 5 * NS_PER_S, 0.1, 20};
	uint64_t now = 100 * NS_PER_S;
	uint64_t next_tick = 0;
	int keeper = 0;
	uint64_t fence = 1;
	struct rng rng;
	uint64_t lost_permille = 0;
	uint64_t doubled_permille = 0;
	uint64_t late_ns = 0; /* longest extra delay */
	std::multimap<uint64_t, std::function<void()>> queue;
	std::vector<std::unique_ptr<QuotaNode>> nodes;
	std::vector<uint64_t> ran; /* when */
	uint64_t offered = 0, over = 0, no_share = 0, late = 0;

	explicit QuotaFleet(int count,
			    struct quota_opts o = {50, 50, 5 * NS_PER_S, 0.1,
						   20})
	    : opts(o)
	{
		rng_init(&rng, 7);
		for (int i = 0; i < count; i++) {
			nodes.emplace_back(new QuotaNode);
			init(i);
		}
		for (auto &n : nodes)
			n->share.nodes = (uint32_t)count;
	}
	~QuotaFleet()
	{
		for (auto &n : nodes)
			done(*n);
	}
	struct quota_rule rule() const
	{
		struct quota_rule r;

		quota_rule_init(&r, &opts);
		return r;
	}
	void init(int i)
	{
		quota_share_init(&nodes[i]->share, now + 2 * opts.window_ns);
		quota_bank_init(&nodes[i]->bank);
		nodes[i]->share.nodes = (uint32_t)nodes.size();
		configure(i);
	}
	void done(QuotaNode &n)
	{
		quota_share_done(&n.share);
		quota_bank_done(&n.bank);
		n.waiters.clear();
	}
	struct quota_pool *configure(int i)
	{
		struct quota_rule r = rule();

		return quota_share_set(&nodes[i]->share, "o", &r);
	}
	void set_limit(double rate, double burst)
	{
		opts.rate_per_s = rate;
		opts.burst = burst;
		for (int i = 0; i < (int)nodes.size(); i++)
			configure(i);
		sync();
	}
	struct quota_pool *pool(int i)
	{
		return quota_share_find(&nodes[i]->share, "o");
	}
	void restart(int i)
	{
		done(*nodes[i]);
		nodes[i]->boot++;
		nodes[i]->down = false;
		init(i);
	}
	int join()
	{
		nodes.emplace_back(new QuotaNode);
		init((int)nodes.size() - 1);
		for (auto &n : nodes)
			n->share.nodes = (uint32_t)nodes.size();
		return (int)nodes.size() - 1;
	}
	/* The key has no owner for @gap_ns, and then @to. */
	void move(int to, uint64_t gap_ns)
	{
		keeper = -1;
		fence++;
		queue.emplace(now + gap_ns, [=] { keeper = to; });
	}
	uint64_t delay(int a, int b)
	{
		uint64_t ns = a % 3 == b % 3 ? 1400 * NS_PER_US : 12 * SIM_MS;

		return ns + rng_below(&rng, late_ns + 1);
	}
	void send(int from, int to, uint64_t boot, std::function<void()> fn)
	{
		int copies = 1;

		if (nodes[from]->cut || nodes[to]->cut ||
		    rng_below(&rng, 1000) < lost_permille)
			return;
		if (rng_below(&rng, 1000) < doubled_permille)
			copies = 2;
		for (int i = 0; i < copies; i++)
			queue.emplace(now + delay(from, to), [=] {
				if (nodes[to]->boot == boot &&
				    !nodes[to]->down && !nodes[to]->cut)
					fn();
			});
	}
	struct quota_grant answer(int k, uint64_t sent_ns, uint64_t requests)
	{
		struct quota_rule r = rule();
		struct quota_grant g = {};
		struct quota_answer a;

		g.sent_ns = sent_ns;
		g.unknown = keeper != k;
		if (g.unknown)
			return g;
		a = quota_bank_ask(&nodes[k]->bank,
				   quota_bank_hold(&nodes[k]->bank, "o", &r,
						   fence, now),
				   requests, now, &rng);
		g.requests = a.requests;
		g.retry_after_ns = a.retry_after_ns;
		g.valid_ns = r.valid_ns;
		return g;
	}
	void on_ask(int from, int k, uint64_t boot, uint64_t sent_ns,
		    uint64_t requests)
	{
		struct quota_grant g = answer(k, sent_ns, requests);

		send(k, from, boot, [=] {
			quota_share_on_grant(&nodes[from]->share, pool(from),
					     &g, now, &rng);
			flush(from);
		});
	}
	void ask(int i, struct quota_pool *p)
	{
		uint64_t sent_ns = p->ask_sent_ns, requests = p->asked;
		uint64_t boot = nodes[i]->boot;
		int k = keeper;

		if (k < 0) {
			quota_share_no_keeper(p, now);
			return;
		}
		if (k == i) {
			struct quota_grant g = answer(k, sent_ns, requests);

			quota_share_on_grant(&nodes[i]->share, p, &g, now,
					     &rng);
			return;
		}
		send(i, k, nodes[k]->boot,
		     [=] { on_ask(i, k, boot, sent_ns, requests); });
	}
	void count(enum quota_verdict v, bool waited)
	{
		if (v == QUOTA_PASSES)
			ran.push_back(now);
		over += v == QUOTA_OVER;
		no_share += v == QUOTA_NO_SHARE;
		late += waited && v != QUOTA_PASSES;
	}
	void flush(int i)
	{
		QuotaNode &n = *nodes[i];
		struct quota_pool *p;
		struct quota_waiter *w;

		if (n.down)
			return;
		while ((p = quota_share_next_ask(&n.share, now)))
			ask(i, p);
		quota_share_work(&n.share, now, &rng);
		while ((w = quota_share_pop_decided(&n.share))) {
			count(w->verdict, true);
			n.waiters.erase(std::find_if(
				n.waiters.begin(), n.waiters.end(),
				[&](auto &x) { return x.get() == w; }));
		}
	}
	enum quota_verdict offer(int i)
	{
		QuotaNode &n = *nodes[i];
		std::unique_ptr<struct quota_waiter> w(
			new struct quota_waiter());
		enum quota_verdict v;

		if (n.down)
			return QUOTA_NO_SHARE;
		list_init(&w->link);
		w->hold_until_ns = now + 125 * SIM_MS;
		offered++;
		v = quota_share_admit(&n.share, pool(i), w.get(), now, &rng);
		if (v == QUOTA_WAITS)
			n.waiters.push_back(std::move(w));
		else
			count(v, false);
		flush(i);
		return v;
	}
	void sync()
	{
		struct quota_rule r = rule();

		if (keeper >= 0 && !nodes[keeper]->down)
			quota_bank_hold(&nodes[keeper]->bank, "o", &r, fence,
					now);
	}
	void tick()
	{
		sync();
		for (int i = 0; i < (int)nodes.size(); i++)
			if (!list_empty(&nodes[i]->share.active))
				flush(i);
	}
	void run_until(uint64_t t)
	{
		while (true) {
			uint64_t next = std::max(next_tick, now);

			if (!queue.empty())
				next = std::min(next, queue.begin()->first);
			if (next > t)
				break;
			now = std::max(now, next);
			if (!queue.empty() && queue.begin()->first <= now) {
				auto fn = queue.begin()->second;

				queue.erase(queue.begin());
				fn();
				continue;
			}
			tick();
			next_tick = now + 10 * SIM_MS;
		}
		now = t;
	}
	void run_for(uint64_t ns)
	{
		run_until(now + ns);
	}
	/* Requests at @per_s, at random times, each at the node @pick gives. */
	void load(uint64_t ns, double per_s, std::function<int()> pick)
	{
		uint64_t end = now + ns;
		uint64_t mean = (uint64_t)((double)NS_PER_S / per_s);

		while (true) {
			uint64_t at = now + rng_below(&rng, 2 * mean + 1);

			if (at > end)
				break;
			run_until(at);
			offer(pick());
		}
		run_until(end);
	}
	int anywhere()
	{
		return (int)rng_below(&rng, nodes.size());
	}
	double bound() const
	{
		double quota = opts.rate_per_s * (double)opts.window_ns /
				       (double)NS_PER_S +
			       opts.burst;

		return quota * (1 + opts.overage) + opts.slack;
	}
	/* The most requests that ran in any closed window from @from on. */
	uint64_t busiest(uint64_t from = 0) const
	{
		size_t first = 0, most = 0;

		for (size_t i = 0; i < ran.size(); i++) {
			while (ran[first] + opts.window_ns < ran[i] ||
			       ran[first] < from)
				first++;
			if (ran[i] >= from)
				most = std::max(most, i + 1 - first);
		}
		return most;
	}
	double served() const
	{
		return (double)ran.size() / (double)offered;
	}
};

#define EXPECT_BOUND(f) EXPECT_LE((double)(f).busiest(), (f).bound())

#endif
