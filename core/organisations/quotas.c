#include "core/organisations/quotas.h"

#include <string.h>
#include <xxhash.h>

#include "core/mem.h"
#include "core/name.h"
#include "core/text.h"

/*
 * A large quota has several parts, each with a keeper of its own: the loss of
 * one leaves the rest to the callers of all entries.
 */
#define PARTS_MAX	   4u
/* Requests a second of a part; a smaller quota is not divided further. */
#define PART_RATE_MIN	   25.0
/* Separates an organisation's name from the number of a part. */
#define PART_SEPARATOR	   '\x1f'
/* A request waits so long for one part while it may try another. */
#define PART_WAIT_NS	   (60 * NS_PER_MS)
/* A keeper notes this often which quotas it keeps. */
#define SYNC_INTERVAL_NS   (250 * NS_PER_MS)
/* A request waits for a share for this part of its objective, if not longer. */
#define WAIT_SHARE	   0.25
/* A process knows the other nodes after this many windows. */
#define SETTLE_WINDOWS	   2
/* Of shares of an organisation that has no limit here, but at the entry. */
#define UNLIMITED_VALID_NS (250 * NS_PER_MS)

void quotas_init(struct quotas *q)
{
	memset(q, 0, sizeof(*q));
	quota_bank_init(&q->bank);
	quota_share_init(&q->share, UINT64_MAX);
}

void quotas_done(struct quotas *q)
{
	quota_share_done(&q->share);
	quota_bank_done(&q->bank);
}

static uint32_t parts_of(const struct quotas *q, double rate_per_s)
{
	double parts = rate_per_s / PART_RATE_MIN;

	if (q->share.fixed || parts < 2)
		return 1;
	return parts < PARTS_MAX ? (uint32_t)parts : PARTS_MAX;
}

/* The first part has the organisation's name. */
static void part_name(char *dst, const char *organisation, uint32_t part)
{
	if (part)
		text_format(dst, JD_QUOTA_NAME_MAX, "%s%c%u", organisation,
			    PART_SEPARATOR, part);
	else
		mem_copy_str(dst, organisation, JD_QUOTA_NAME_MAX);
}

static struct quota_pool *find_part(const struct quotas *q,
				    const char *organisation, uint32_t part)
{
	char name[JD_QUOTA_NAME_MAX];

	part_name(name, organisation, part);
	return quota_share_find(&q->share, name);
}

/* The part that an entry asks first: entries are spread over them. */
static uint32_t home_part(const struct mesh_ctx *c, uint32_t parts)
{
	return XXH32(c->opts->node, strlen(c->opts->node), 0) % parts;
}

/* What an entry spends while cut off is counted at its first part. */
static void set_parts(struct quotas *q, const struct mesh_ctx *c,
		      const struct organisation *o,
		      const struct quota_opts *whole)
{
	uint32_t parts = parts_of(q, o->rate_per_s);
	uint32_t home = home_part(c, parts);
	struct quota_opts opts = *whole;
	struct quota_rule rule, all;
	char name[JD_QUOTA_NAME_MAX];

	opts.rate_per_s = o->rate_per_s;
	opts.burst = o->burst;
	quota_rule_init(&all, &opts);
	opts.rate_per_s /= parts;
	opts.burst /= parts;
	opts.slack /= parts;
	quota_rule_init(&rule, &opts);
	for (uint32_t i = 0; i < parts; i++) {
		part_name(name, o->name, i);
		rule.cut_off = i == home ? all.cut_off : 0;
		quota_share_set(&q->share, name, &rule)->parts = parts;
	}
}

static void set_limits(struct quotas *q, const struct mesh_ctx *c)
{
	const struct organisation *o;
	struct quota_opts opts = {
		.window_ns = c->opts->quota_window_ns,
		.overage = c->opts->quota_overage,
		.slack = c->opts->quota_slack,
	};
	struct quota_pool *p;

	quota_share_begin(&q->share);
	list_for_each_entry(o, &q->manifest->organisations, link) {
		if (o->rate_per_s > 0)
			set_parts(q, c, o, &opts);
	}
	while ((p = quota_share_outdated(&q->share))) {
		quota_bank_drop(&q->bank, p->organisation);
		quota_share_drop(&q->share, p);
	}
}

/* All nodes use the keys of the keyed service with the first name. */
static void set_service(struct quotas *q)
{
	const struct service *s, *first = NULL;

	list_for_each_entry(s, &q->manifest->services, link)
		if (s->keyed && (!first || strcmp(s->name, first->name) < 0))
			first = s;
	mem_copy_str(q->service, first ? first->name : "", sizeof(q->service));
	q->share.fixed = !first;
}

static void refresh(struct quotas *q, const struct mesh_ctx *c)
{
	uint64_t window_ns = c->opts->quota_window_ns ? c->opts->quota_window_ns
						      : QUOTA_WINDOW_DEFAULT_NS;

	if (!c->dir.manifest || (c->dir.manifest == q->manifest &&
				 c->dir.manifest_revision == q->revision))
		return;
	if (!q->manifest)
		q->share.settled_ns = c->now_ns + SETTLE_WINDOWS * window_ns;
	q->manifest = c->dir.manifest;
	q->revision = c->dir.manifest_revision;
	set_service(q);
	set_limits(q, c);
	q->next_sync_ns = c->now_ns;
}

static const struct dir_node *find_keeper(const struct quotas *q,
					  const struct mesh_ctx *c,
					  const struct quota_pool *p)
{
	const struct dir_keymap *k = directory_keymap(&c->dir, q->service);
	const struct keyrow *row = k ? keymap_find(k->map, p->key) : NULL;

	return row ? directory_node(&c->dir, row->owner.node) : NULL;
}

static uint64_t age_ms(const struct mesh_ctx *c, uint64_t at_ns)
{
	return at_ns && c->now_ns > at_ns ? (c->now_ns - at_ns) / NS_PER_MS : 0;
}

static void log_refusal(struct quotas *q, struct mesh_ctx *c,
			const struct pending_request *p,
			const struct quota_pool *pool)
{
	const struct dir_node *keeper = find_keeper(q, c, pool);

	mesh_log(c->out, LOG_INFO,
		 "event=quota_refused id=%s organisation=%s why=%s "
		 "rate_per_s=%.3f burst=%.3f keeper=%s answered=%d "
		 "share=%lu share_age_ms=%lu silent_ms=%lu waiting=%u "
		 "retry_after_ms=%lu config=%lu",
		 name_for_log(p->caller_id).text, p->organisation,
		 p->quota.verdict == QUOTA_OVER ? "over_quota"
						: "no_quota_share",
		 pool->rule.rate_per_s, pool->rule.burst,
		 keeper ? keeper->name : "none", pool->answered_ns != 0,
		 (unsigned long)pool->last_granted,
		 (unsigned long)age_ms(c, pool->answered_ns),
		 (unsigned long)age_ms(c, pool->silent_since_ns),
		 pool->waiting_count,
		 (unsigned long)(p->quota.retry_after_ns / NS_PER_MS),
		 (unsigned long)(c->dir.manifest ? c->dir.manifest->version
						 : 0));
}

static void note_verdict(struct quotas *q, struct mesh_ctx *c,
			 struct pending_request *p)
{
	const struct quota_pool *pool;

	if (p->quota.verdict != QUOTA_OVER &&
	    p->quota.verdict != QUOTA_NO_SHARE)
		return;
	p->retry_after_ns = p->quota.retry_after_ns;
	pool = find_part(q, p->organisation, p->quota.part);
	if (pool)
		log_refusal(q, c, p, pool);
}

static uint64_t hold_until_ns(const struct mesh_ctx *c,
			      const struct pending_request *p)
{
	uint64_t objective_ns = p->objective_at_ns - c->now_ns;
	uint64_t until_ns =
		c->now_ns + (uint64_t)((double)objective_ns * WAIT_SHARE);

	return until_ns > p->hold_until_ns ? until_ns : p->hold_until_ns;
}

/* Offers @p to the parts of the quota that it was not offered to yet. */
static enum quota_verdict admit_at_parts(struct quotas *q, struct mesh_ctx *c,
					 struct pending_request *p,
					 uint32_t parts)
{
	enum quota_verdict v = p->quota.verdict;
	uint64_t part_until_ns = c->now_ns + PART_WAIT_NS;

	while (p->quota.tries < parts) {
		struct quota_pool *pool;
		bool last;

		p->quota.part = (home_part(c, parts) + p->quota.tries) % parts;
		last = ++p->quota.tries == parts;
		pool = find_part(q, p->organisation, p->quota.part);
		if (!pool || (!last && quota_share_unlikely(pool, c->now_ns)))
			continue;
		p->quota.hold_until_ns = hold_until_ns(c, p);
		if (!last && part_until_ns < p->quota.hold_until_ns)
			p->quota.hold_until_ns = part_until_ns;
		v = quota_share_admit(&q->share, pool, &p->quota, c->now_ns,
				      &c->rng);
		if (v == QUOTA_PASSES || v == QUOTA_WAITS)
			break;
	}
	return v;
}

enum quota_verdict quotas_admit(struct quotas *q, struct mesh_ctx *c,
				struct pending_request *p)
{
	struct quota_pool *pool;

	refresh(q, c);
	pool = p->organisation[0] ? quota_share_find(&q->share, p->organisation)
				  : NULL;
	if (!pool)
		return QUOTA_PASSES;
	p->quota.verdict = admit_at_parts(q, c, p, pool->parts);
	note_verdict(q, c, p);
	return p->quota.verdict;
}

/* True if another part of the quota may still have a share for @p. */
static bool tries_another_part(struct quotas *q, struct mesh_ctx *c,
			       struct pending_request *p)
{
	const struct quota_pool *pool;

	if (p->quota.verdict == QUOTA_PASSES)
		return false;
	pool = quota_share_find(&q->share, p->organisation);
	if (!pool || p->quota.tries >= pool->parts)
		return false;
	p->quota.verdict = admit_at_parts(q, c, p, pool->parts);
	return p->quota.verdict == QUOTA_WAITS;
}

struct pending_request *quotas_next_decided(struct quotas *q,
					    struct mesh_ctx *c)
{
	struct quota_waiter *w;

	while ((w = quota_share_pop_decided(&q->share))) {
		struct pending_request *p =
			list_entry(w, struct pending_request, quota);

		if (tries_another_part(q, c, p))
			continue;
		note_verdict(q, c, p);
		return p;
	}
	return NULL;
}

void quotas_on_not_run(struct quotas *q, struct mesh_ctx *c,
		       struct pending_request *p)
{
	struct quota_pool *pool;

	if (!p->quota.expires_ns)
		return;
	pool = find_part(q, p->organisation, p->quota.part);
	if (pool)
		quota_share_give_back(&q->share, pool, &p->quota, c->now_ns);
}

void quotas_forget(struct quotas *q, struct pending_request *p)
{
	struct quota_pool *pool;

	if (list_empty(&p->quota.link))
		return;
	pool = find_part(q, p->organisation, p->quota.part);
	if (pool)
		quota_share_forget(pool, &p->quota);
	list_remove(&p->quota.link);
}

/* True for a part that this node's manifest doesn't divide the quota into. */
static bool is_unknown_part(const struct quotas *q, const char *account)
{
	char name[JD_QUOTA_NAME_MAX];
	char *separator;

	mem_copy_str(name, account, sizeof(name));
	separator = strrchr(name, PART_SEPARATOR);
	if (!separator)
		return false;
	*separator = '\0';
	return quota_share_find(&q->share, name) != NULL;
}

/*
 * The quota of an organisation that has no limit in this node's manifest, or
 * none yet, passes: manifests differ for a short time only.
 */
static void answer_ask(struct quotas *q, struct mesh_ctx *c,
		       const struct holder *h, const struct msg_quota_ask *a,
		       struct msg_quota_grant *g)
{
	const struct quota_pool *p;
	struct quota_answer answer;
	uint64_t fence;

	refresh(q, c);
	mem_copy_str(g->account, a->account, sizeof(g->account));
	g->sent_ns = a->sent_ns;
	p = quota_share_find(&q->share, a->account);
	fence = holder_key_fence(h, quota_key(a->account), c->now_ns);
	g->unknown = !fence || !q->service[0] ||
		     (!p && is_unknown_part(q, a->account));
	if (g->unknown)
		return;
	if (!p) {
		g->requests = a->requests;
		g->valid_ns = UNLIMITED_VALID_NS;
		return;
	}
	answer = quota_bank_ask(&q->bank,
				quota_bank_hold(&q->bank, p->organisation,
						&p->rule, fence, c->now_ns),
				a->requests, c->now_ns, &c->rng);
	g->requests = answer.requests;
	g->valid_ns = p->rule.valid_ns;
	g->retry_after_ns = answer.retry_after_ns;
}

void quotas_on_ask(struct quotas *q, struct mesh_ctx *c, const struct holder *h,
		   uint64_t from, const struct msg_quota_ask *a)
{
	struct message *m = message_new(MSG_QUOTA_GRANT);

	answer_ask(q, c, h, a, &m->u.quota_grant);
	mesh_send(c, from, a->reply_to, m);
}

void quotas_on_grant(struct quotas *q, struct mesh_ctx *c,
		     const struct msg_quota_grant *g)
{
	struct quota_pool *p = quota_share_find(&q->share, g->account);
	struct quota_grant grant = {
		.sent_ns = g->sent_ns,
		.requests = g->requests,
		.valid_ns = g->valid_ns,
		.retry_after_ns = g->retry_after_ns,
		.unknown = g->unknown,
	};

	if (p)
		quota_share_on_grant(&q->share, p, &grant, c->now_ns, &c->rng);
}

static void send_ask(struct quotas *q, struct mesh_ctx *c,
		     const struct holder *h, struct quota_pool *p)
{
	const struct dir_node *keeper = find_keeper(q, c, p);
	struct msg_quota_grant grant = {0};
	struct msg_quota_ask *a;
	struct message *m;

	if (!keeper || !keeper->boot) {
		quota_share_no_keeper(p, c->now_ns);
		return;
	}
	m = message_new(MSG_QUOTA_ASK);
	a = &m->u.quota_ask;
	mem_copy_str(a->account, p->organisation, sizeof(a->account));
	mem_copy_str(a->reply_to, c->opts->peer_addr, sizeof(a->reply_to));
	a->sent_ns = p->ask_sent_ns;
	a->requests = p->asked;
	if (strcmp(keeper->name, c->opts->node) != 0) {
		mesh_send(c, keeper->boot, keeper->card.peer_addr, m);
		return;
	}
	answer_ask(q, c, h, a, &grant);
	quotas_on_grant(q, c, &grant);
	message_delete(m);
}

static void count_nodes(struct quotas *q, const struct mesh_ctx *c)
{
	const struct dir_node *n;
	uint32_t nodes = 0;

	list_for_each_entry(n, &c->dir.nodes, link)
		nodes += n->revision != 0;
	if (nodes > q->share.nodes)
		q->share.nodes = nodes;
}

/* A bucket fills from when this node began to keep it, not from the first ask.
 */
static void sync_kept(struct quotas *q, const struct mesh_ctx *c,
		      const struct holder *h)
{
	const struct quota_pool *p;

	if (c->now_ns < q->next_sync_ns)
		return;
	q->next_sync_ns = c->now_ns + SYNC_INTERVAL_NS;
	count_nodes(q, c);
	if (q->share.fixed)
		return;
	list_for_each_entry(p, &q->share.pools, link) {
		uint64_t fence = holder_key_fence(h, p->key, c->now_ns);

		if (fence)
			quota_bank_hold(&q->bank, p->organisation, &p->rule,
					fence, c->now_ns);
	}
}

void quotas_work(struct quotas *q, struct mesh_ctx *c, const struct holder *h)
{
	struct quota_pool *p;

	refresh(q, c);
	if (list_empty(&q->share.pools))
		return;
	sync_kept(q, c, h);
	while ((p = quota_share_next_ask(&q->share, c->now_ns)))
		send_ask(q, c, h, p);
	quota_share_work(&q->share, c->now_ns, &c->rng);
}

uint64_t quotas_next_ns(const struct quotas *q)
{
	return list_empty(&q->share.pools) ? UINT64_MAX : q->next_sync_ns;
}
