#include "core/organisations/quota_share.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/keymap.h"
#include "core/mem.h"

/* An ask without an answer is repeated after this time. */
#define ASK_REPEAT_NS	  (100 * NS_PER_MS)
/* Until the next search for a keeper, while none is known. */
#define KEEPER_SEARCH_NS  (25 * NS_PER_MS)
/* A keeper that is silent for this time is taken as unreachable. */
#define KEEPER_SILENT_NS  (250 * NS_PER_MS)
/* Of a silent keeper, while other parts of the quota have one. */
#define PROBE_INTERVAL_NS (500 * NS_PER_MS)
/* In this time demand decays to 1/e. */
#define DEMAND_DECAY_NS	  (double)NS_PER_S
/* Shares are asked for this long before they are expected to be used up. */
#define ASK_LEAD_S	  0.075
/* Shares are asked for as far ahead as this part of their lifetime. */
#define AHEAD_SHARE	  0.75
/* Fewer than this many requests are not asked for ahead. */
#define ASK_AHEAD_MIN	  3.0
/* After a denial none is asked ahead for this time. */
#define NO_AHEAD_NS	  NS_PER_S
/*
 * For this time after a denial's retry time only as many requests wait as the
 * keeper is likely to grant.
 */
#define WAIT_LIMIT_NS	  NS_PER_S
#define WAIT_LIMIT_MIN	  2
#define WAIT_LIMIT_MAX	  (UINT64_C(1) << 20)
/* A request waits at most so long for a quota that is used up. */
#define OVER_WAIT_NS	  (150 * NS_PER_MS)
/* Of requests that got no share: their Retry-After, before it is spread. */
#define NO_SHARE_RETRY_NS (300 * NS_PER_MS)

void quota_share_init(struct quota_share *s, uint64_t settled_ns)
{
	memset(s, 0, sizeof(*s));
	list_init(&s->pools);
	for (int i = 0; i < QUOTA_SHARE_BUCKETS; i++)
		list_init(&s->by_name[i]);
	list_init(&s->active);
	list_init(&s->decided);
	s->settled_ns = settled_ns;
	s->nodes = 1;
}

static void batch_delete(struct quota_pool *p, struct quota_batch *b)
{
	list_remove(&b->link);
	p->available -= b->left;
	free(b);
}

static void spent_delete(struct quota_pool *p, struct quota_spent *x)
{
	list_remove(&x->link);
	p->spent_count--;
	free(x);
}

static void decide(struct quota_share *s, struct quota_pool *p,
		   struct quota_waiter *w, enum quota_verdict verdict)
{
	list_remove(&w->link);
	p->waiting_count--;
	w->verdict = verdict;
	list_push_back(&s->decided, &w->link);
}

void quota_share_drop(struct quota_share *s, struct quota_pool *p)
{
	struct quota_waiter *w, *wt;
	struct quota_batch *b, *bt;
	struct quota_spent *x, *xt;

	list_for_each_entry_safe(w, wt, &p->waiting, link)
		decide(s, p, w, QUOTA_PASSES);
	list_for_each_entry_safe(b, bt, &p->batches, link)
		batch_delete(p, b);
	list_for_each_entry_safe(x, xt, &p->spent, link)
		spent_delete(p, x);
	list_remove(&p->link);
	list_remove(&p->by_name);
	list_remove(&p->active);
	free(p);
}

void quota_share_done(struct quota_share *s)
{
	struct quota_pool *p, *tmp;

	list_for_each_entry_safe(p, tmp, &s->pools, link)
		quota_share_drop(s, p);
	while (quota_share_pop_decided(s))
		;
}

static uint64_t name_hash(const char *organisation)
{
	return XXH64(organisation, strlen(organisation), 0);
}

uint32_t quota_key(const char *organisation)
{
	return (uint32_t)(name_hash(organisation) % KEYMAP_KEYS);
}

struct quota_pool *quota_share_find(const struct quota_share *s,
				    const char *organisation)
{
	const struct list *bucket =
		&s->by_name[name_hash(organisation) % QUOTA_SHARE_BUCKETS];
	struct quota_pool *p;

	list_for_each_entry(p, bucket, by_name)
		if (!strcmp(p->organisation, organisation))
			return p;
	return NULL;
}

static struct quota_pool *pool_new(struct quota_share *s,
				   const char *organisation)
{
	struct quota_pool *p = mem_new(struct quota_pool);
	uint64_t h = name_hash(organisation);

	mem_copy_str(p->organisation, organisation, sizeof(p->organisation));
	p->key = quota_key(organisation);
	list_init(&p->active);
	list_init(&p->batches);
	list_init(&p->waiting);
	list_init(&p->spent);
	list_push_back(&s->pools, &p->link);
	list_push_back(&s->by_name[h % QUOTA_SHARE_BUCKETS], &p->by_name);
	return p;
}

void quota_share_begin(struct quota_share *s)
{
	s->generation++;
}

struct quota_pool *quota_share_set(struct quota_share *s,
				   const char *organisation,
				   const struct quota_rule *rule)
{
	struct quota_pool *p = quota_share_find(s, organisation);

	if (!p)
		p = pool_new(s, organisation);
	p->rule = *rule;
	p->generation = s->generation;
	return p;
}

struct quota_pool *quota_share_outdated(struct quota_share *s)
{
	struct quota_pool *p;

	list_for_each_entry(p, &s->pools, link)
		if (p->generation != s->generation)
			return p;
	return NULL;
}

static void drop_expired(struct quota_share *s, struct quota_pool *p,
			 uint64_t now_ns)
{
	struct quota_batch *b, *tmp;

	list_for_each_entry_safe(b, tmp, &p->batches, link) {
		if (b->expires_ns > now_ns)
			break;
		s->unused += b->left;
		batch_delete(p, b);
	}
}

static void add_batch(struct quota_pool *p, uint64_t requests,
		      uint64_t expires_ns)
{
	struct quota_batch *b = mem_new(struct quota_batch);
	struct list *pos = &p->batches;

	while (pos->prev != &p->batches &&
	       list_entry(pos->prev, struct quota_batch, link)->expires_ns >
		       expires_ns)
		pos = pos->prev;
	b->expires_ns = expires_ns;
	b->left = requests;
	list_insert_before(pos, &b->link);
	p->available += requests;
}

/* Uses the share that expires first. */
static bool use_share(struct quota_pool *p, struct quota_waiter *w)
{
	struct quota_batch *b;

	if (!p->available)
		return false;
	b = list_entry(p->batches.next, struct quota_batch, link);
	w->expires_ns = b->expires_ns;
	b->left--;
	p->available--;
	if (!b->left)
		batch_delete(p, b);
	return true;
}

/* What this node may run in any window without a keeper's share. */
static uint64_t own_budget(const struct quota_share *s,
			   const struct quota_pool *p)
{
	return (uint64_t)((s->fixed ? p->rule.fixed : p->rule.cut_off) /
			  s->nodes);
}

static bool spend_own(struct quota_share *s, struct quota_pool *p,
		      struct quota_waiter *w, uint64_t now_ns)
{
	struct quota_spent *x, *tmp;

	if (now_ns < s->settled_ns)
		return false;
	list_for_each_entry_safe(x, tmp, &p->spent, link) {
		if (x->at_ns + p->rule.window_ns >= now_ns)
			break;
		spent_delete(p, x);
	}
	if (p->spent_count >= own_budget(s, p))
		return false;
	x = mem_new(struct quota_spent);
	x->at_ns = now_ns;
	list_push_back(&p->spent, &x->link);
	p->spent_count++;
	s->cut_off++;
	w->expires_ns = 0;
	return true;
}

static double demand_per_s(const struct quota_pool *p, uint64_t now_ns)
{
	return p->demand *
	       exp(-(double)(now_ns - p->demand_ns) / DEMAND_DECAY_NS);
}

static void note_demand(struct quota_pool *p, uint64_t now_ns)
{
	p->demand = demand_per_s(p, now_ns) + 1;
	p->demand_ns = now_ns;
}

/* Requests to ask for beyond those that wait. */
static uint64_t wanted_ahead(const struct quota_pool *p, uint64_t now_ns)
{
	double rate = demand_per_s(p, now_ns);
	double target = rate * AHEAD_SHARE * (double)p->rule.valid_ns /
			(double)NS_PER_S;

	if (target < ASK_AHEAD_MIN ||
	    (p->denied_ns && now_ns < p->denied_ns + NO_AHEAD_NS) ||
	    (double)p->available > fmin(rate * ASK_LEAD_S, target / 2))
		return 0;
	return (uint64_t)target - p->available;
}

static void activate(struct quota_share *s, struct quota_pool *p)
{
	if (list_empty(&p->active))
		list_push_back(&s->active, &p->active);
}

static uint64_t spread(uint64_t ns, struct rng *rng)
{
	return ns + rng_below(rng, ns / 2 + 1);
}

static void set_retry(const struct quota_pool *p, struct quota_waiter *w,
		      uint64_t now_ns, struct rng *rng)
{
	uint64_t left_ns =
		p->denied_until_ns > now_ns ? p->denied_until_ns - now_ns : 0;

	w->retry_after_ns = spread(
		left_ns > NO_SHARE_RETRY_NS ? left_ns : NO_SHARE_RETRY_NS, rng);
}

/* True if the waiter at @position gets its share in time, if at all. */
static bool worth_waiting(const struct quota_pool *p,
			  const struct quota_waiter *w, uint32_t position,
			  uint64_t now_ns)
{
	double behind_ns = position / p->rule.rate_per_s * (double)NS_PER_S;
	uint64_t at_ns = p->denied_until_ns + (uint64_t)behind_ns;

	return at_ns < w->hold_until_ns && at_ns < now_ns + OVER_WAIT_NS;
}

static bool too_many_wait(const struct quota_pool *p, uint64_t now_ns)
{
	return p->denied_ns && now_ns < p->denied_until_ns + WAIT_LIMIT_NS &&
	       p->waiting_count >= p->wait_limit;
}

static void adapt_wait_limit(struct quota_pool *p, const struct quota_grant *g)
{
	if (!g->retry_after_ns)
		p->wait_limit = p->wait_limit < WAIT_LIMIT_MAX
					? p->wait_limit * 2
					: WAIT_LIMIT_MAX;
	else
		p->wait_limit = g->requests > WAIT_LIMIT_MIN ? g->requests
							     : WAIT_LIMIT_MIN;
}

static enum quota_verdict admit_fixed(struct quota_share *s,
				      struct quota_pool *p,
				      struct quota_waiter *w, uint64_t now_ns,
				      struct rng *rng)
{
	if (spend_own(s, p, w, now_ns))
		return QUOTA_PASSES;
	set_retry(p, w, now_ns, rng);
	return now_ns < s->settled_ns ? QUOTA_NO_SHARE : QUOTA_OVER;
}

enum quota_verdict quota_share_admit(struct quota_share *s,
				     struct quota_pool *p,
				     struct quota_waiter *w, uint64_t now_ns,
				     struct rng *rng)
{
	if (s->fixed)
		return admit_fixed(s, p, w, now_ns, rng);
	note_demand(p, now_ns);
	drop_expired(s, p, now_ns);
	if (list_empty(&p->waiting) && use_share(p, w)) {
		if (!p->in_flight && wanted_ahead(p, now_ns))
			activate(s, p);
		return QUOTA_PASSES;
	}
	if (too_many_wait(p, now_ns) ||
	    (now_ns < p->denied_until_ns &&
	     !worth_waiting(p, w, p->waiting_count, now_ns))) {
		set_retry(p, w, now_ns, rng);
		return QUOTA_OVER;
	}
	list_push_back(&p->waiting, &w->link);
	p->waiting_count++;
	activate(s, p);
	return QUOTA_WAITS;
}

bool quota_share_unlikely(struct quota_pool *p, uint64_t now_ns)
{
	if (p->available)
		return false;
	if (p->silent_since_ns) {
		if (now_ns < p->probe_ns)
			return true;
		p->probe_ns = now_ns + PROBE_INTERVAL_NS;
		return false;
	}
	return now_ns < p->denied_until_ns || too_many_wait(p, now_ns);
}

static void serve_waiters(struct quota_share *s, struct quota_pool *p)
{
	struct quota_waiter *w, *tmp;

	list_for_each_entry_safe(w, tmp, &p->waiting, link) {
		if (!use_share(p, w))
			return;
		decide(s, p, w, QUOTA_PASSES);
	}
}

void quota_share_give_back(struct quota_share *s, struct quota_pool *p,
			   struct quota_waiter *w, uint64_t now_ns)
{
	uint64_t expires_ns = w->expires_ns;

	w->expires_ns = 0;
	if (expires_ns <= now_ns)
		return;
	add_batch(p, 1, expires_ns);
	serve_waiters(s, p);
}

void quota_share_forget(struct quota_pool *p, struct quota_waiter *w)
{
	if (w->verdict != QUOTA_WAITS || list_empty(&w->link))
		return;
	list_remove(&w->link);
	p->waiting_count--;
}

static bool ask_is_due(const struct quota_pool *p, uint64_t now_ns)
{
	if (p->in_flight)
		return now_ns >= p->ask_sent_ns + ASK_REPEAT_NS;
	return now_ns >= p->next_ask_ns;
}

static void note_silent(struct quota_pool *p, uint64_t since_ns)
{
	if (!p->silent_since_ns)
		p->silent_since_ns = since_ns;
}

struct quota_pool *quota_share_next_ask(struct quota_share *s, uint64_t now_ns)
{
	struct quota_pool *p, *tmp;

	list_for_each_entry_safe(p, tmp, &s->active, active) {
		if (!ask_is_due(p, now_ns))
			continue;
		if (p->in_flight) {
			note_silent(p, p->ask_sent_ns);
			s->repeats++;
		}
		p->in_flight = false;
		p->asked = p->waiting_count + wanted_ahead(p, now_ns);
		if (!p->asked) {
			list_remove(&p->active);
			continue;
		}
		p->in_flight = true;
		/* Tells its answer from one to an earlier ask. */
		p->ask_sent_ns =
			now_ns > p->ask_sent_ns ? now_ns : p->ask_sent_ns + 1;
		s->asks++;
		return p;
	}
	return NULL;
}

void quota_share_no_keeper(struct quota_pool *p, uint64_t now_ns)
{
	p->in_flight = false;
	p->next_ask_ns = now_ns + KEEPER_SEARCH_NS;
	note_silent(p, now_ns);
}

static void refuse_late_waiters(struct quota_share *s, struct quota_pool *p,
				uint64_t now_ns, struct rng *rng)
{
	struct quota_waiter *w, *tmp;
	uint32_t position = 0;

	list_for_each_entry_safe(w, tmp, &p->waiting, link) {
		if (worth_waiting(p, w, position, now_ns)) {
			position++;
			continue;
		}
		set_retry(p, w, now_ns, rng);
		decide(s, p, w, QUOTA_OVER);
	}
}

void quota_share_on_grant(struct quota_share *s, struct quota_pool *p,
			  const struct quota_grant *g, uint64_t now_ns,
			  struct rng *rng)
{
	if (!p->in_flight || g->sent_ns != p->ask_sent_ns) {
		s->stale++;
		return;
	}
	if (g->unknown) {
		quota_share_no_keeper(p, now_ns);
		return;
	}
	p->in_flight = false;
	p->silent_since_ns = 0;
	p->answered_ns = now_ns;
	p->last_granted = g->requests;
	adapt_wait_limit(p, g);
	drop_expired(s, p, now_ns);
	if (g->requests && g->sent_ns + g->valid_ns > now_ns) {
		s->granted += g->requests;
		add_batch(p, g->requests, g->sent_ns + g->valid_ns);
	} else if (g->requests) {
		s->stale++;
	}
	serve_waiters(s, p);
	if (!g->retry_after_ns)
		return;
	p->denied_ns = now_ns;
	p->denied_until_ns = now_ns + g->retry_after_ns;
	p->next_ask_ns = p->denied_until_ns;
	refuse_late_waiters(s, p, now_ns, rng);
}

static bool keeper_silent(const struct quota_pool *p, uint64_t now_ns)
{
	return p->silent_since_ns &&
	       now_ns >= p->silent_since_ns + KEEPER_SILENT_NS;
}

static void check_waiter(struct quota_share *s, struct quota_pool *p,
			 struct quota_waiter *w, uint64_t now_ns,
			 struct rng *rng)
{
	if (use_share(p, w) ||
	    (keeper_silent(p, now_ns) && spend_own(s, p, w, now_ns))) {
		decide(s, p, w, QUOTA_PASSES);
		return;
	}
	if (now_ns < w->hold_until_ns)
		return;
	set_retry(p, w, now_ns, rng);
	/* A keeper's denial, not its silence, has kept it waiting. */
	decide(s, p, w,
	       p->denied_ns && p->denied_ns == p->answered_ns &&
			       !p->silent_since_ns
		       ? QUOTA_OVER
		       : QUOTA_NO_SHARE);
}

void quota_share_work(struct quota_share *s, uint64_t now_ns, struct rng *rng)
{
	struct quota_pool *p, *pt;
	struct quota_waiter *w, *wt;

	list_for_each_entry_safe(p, pt, &s->active, active) {
		drop_expired(s, p, now_ns);
		list_for_each_entry_safe(w, wt, &p->waiting, link)
			check_waiter(s, p, w, now_ns, rng);
	}
}

struct quota_waiter *quota_share_pop_decided(struct quota_share *s)
{
	struct quota_waiter *w;

	if (list_empty(&s->decided))
		return NULL;
	w = list_entry(s->decided.next, struct quota_waiter, link);
	list_remove(&w->link);
	return w;
}
