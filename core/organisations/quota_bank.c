#include "core/organisations/quota_bank.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/mem.h"

/* After a denial no ask gets more than half of the bucket for this time. */
#define CONTENDED_NS  (500 * NS_PER_MS)
#define RETRY_MIN_NS  (10 * NS_PER_MS)
/* Denied requests beyond what this time serves are not counted. */
#define BACKLOG_MAX_S 0.5
#define RETRY_MAX_S   60.0
/* Retry times are spread over this share of their length. */
#define RETRY_SPREAD  0.5

void quota_bank_init(struct quota_bank *b)
{
	memset(b, 0, sizeof(*b));
	for (int i = 0; i < QUOTA_BANK_BUCKETS; i++)
		list_init(&b->by_name[i]);
}

static void account_delete(struct quota_account *a)
{
	list_remove(&a->link);
	free(a);
}

void quota_bank_done(struct quota_bank *b)
{
	struct quota_account *a, *tmp;

	for (int i = 0; i < QUOTA_BANK_BUCKETS; i++)
		list_for_each_entry_safe(a, tmp, &b->by_name[i], link)
			account_delete(a);
}

static struct list *bucket(struct quota_bank *b, const char *organisation)
{
	uint64_t h = XXH64(organisation, strlen(organisation), 0);

	return &b->by_name[h % QUOTA_BANK_BUCKETS];
}

static struct quota_account *account_find(struct quota_bank *b,
					  const char *organisation)
{
	struct quota_account *a;

	list_for_each_entry(a, bucket(b, organisation), link)
		if (!strcmp(a->organisation, organisation))
			return a;
	return NULL;
}

static struct quota_account *account_new(struct quota_bank *b,
					 const char *organisation,
					 const struct quota_rule *rule)
{
	struct quota_account *a = mem_new(struct quota_account);

	mem_copy_str(a->organisation, organisation, sizeof(a->organisation));
	a->rule = *rule;
	list_push_back(bucket(b, organisation), &a->link);
	return a;
}

static void fill(struct quota_account *a, uint64_t now_ns)
{
	double added = 0;

	if (now_ns > a->filled_ns)
		added = a->rule.refill_per_s * (double)(now_ns - a->filled_ns) /
			(double)NS_PER_S;
	a->tokens = fmin(a->tokens + added, a->rule.capacity);
	a->backlog = fmax(a->backlog - added, 0);
	a->filled_ns = now_ns;
}

static void start_empty(struct quota_account *a, uint64_t fence,
			uint64_t now_ns)
{
	a->fence = fence;
	a->tokens = 0;
	a->backlog = 0;
	a->filled_ns = now_ns;
	a->contended_until_ns = 0;
}

struct quota_account *quota_bank_hold(struct quota_bank *b,
				      const char *organisation,
				      const struct quota_rule *rule,
				      uint64_t fence, uint64_t now_ns)
{
	struct quota_account *a = account_find(b, organisation);

	if (!a)
		a = account_new(b, organisation, rule);
	if (a->fence != fence)
		start_empty(a, fence, now_ns);
	fill(a, now_ns);
	a->rule = *rule;
	return a;
}

void quota_bank_drop(struct quota_bank *b, const char *organisation)
{
	struct quota_account *a = account_find(b, organisation);

	if (a)
		account_delete(a);
}

/* Behind the requests that were denied before. */
static uint64_t retry_after_ns(const struct quota_account *a, double ahead,
			       struct rng *rng)
{
	double missing = ahead + 1 - a->tokens;
	double wait_s = RETRY_MAX_S;
	double spread = (double)rng_below(rng, 1000) / 1000 * RETRY_SPREAD;

	if (a->rule.refill_per_s * RETRY_MAX_S > missing)
		wait_s = fmax(missing, 0) / a->rule.refill_per_s;
	return (uint64_t)(wait_s * (1 + spread) * (double)NS_PER_S) +
	       RETRY_MIN_NS;
}

static void note_denied(struct quota_account *a, uint64_t requests,
			uint64_t now_ns)
{
	a->backlog = fmin(a->backlog + (double)requests,
			  a->rule.refill_per_s * BACKLOG_MAX_S);
	a->contended_until_ns = now_ns + CONTENDED_NS;
}

struct quota_answer quota_bank_ask(struct quota_bank *b,
				   struct quota_account *a, uint64_t requests,
				   uint64_t now_ns, struct rng *rng)
{
	struct quota_answer answer = {0};
	uint64_t whole, most;

	fill(a, now_ns);
	whole = (uint64_t)a->tokens;
	most = whole;
	if (now_ns < a->contended_until_ns && whole > 1)
		most = whole / 2;
	answer.requests = requests < most ? requests : most;
	a->tokens -= (double)answer.requests;
	b->asks++;
	b->granted += answer.requests;
	if (answer.requests == requests)
		return answer;
	answer.retry_after_ns = retry_after_ns(a, a->backlog, rng);
	note_denied(a, requests - answer.requests, now_ns);
	b->denied += requests - answer.requests;
	return answer;
}
