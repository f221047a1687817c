/*
 * Measures what quotas cost an entry of a fleet of 710 nodes that take 2.7
 * million requests a second of many organisations: processor time of a
 * decision, asks to the keepers, and bytes of asks and grants, each counted
 * once at its sender. A keeper answers after 24 ms and grants all. Framing is
 * not counted.
 */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "core/mem.h"
#include "core/message.h"
#include "core/organisations/quota_bank.h"
#include "core/organisations/quota_share.h"
#include "core/text.h"
#include "wire/codec.h"

#define NODES	       710
#define REQUESTS_PER_S 2700000.0
#define RTT_NS	       (24 * NS_PER_MS)
#define RUN_S	       20
#define BANK_ASKS      2000000

/* An ask on its way and back. */
struct flight {
	struct list link;
	struct quota_pool *pool;
	struct quota_grant grant;
	uint64_t at_ns;
};

struct run {
	struct quota_share share;
	struct quota_pool **pools;
	uint32_t organisations;
	struct rng rng;
	struct list flights; /* of struct flight, by @at_ns */
	uint64_t now_ns;
	uint64_t requests;
	uint64_t passed_at_once;
};

static double cpu_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e9 + (double)ts.tv_nsec;
}

static void run_init(struct run *r, uint32_t organisations)
{
	double rate = REQUESTS_PER_S / organisations / 0.6;
	struct quota_opts opts = {
		.rate_per_s = rate, .burst = rate, .overage = 0.1, .slack = 20};
	struct quota_rule rule;
	char name[JD_NAME_MAX];

	quota_rule_init(&rule, &opts);
	rng_init(&r->rng, 1);
	list_init(&r->flights);
	quota_share_init(&r->share, 0);
	r->share.nodes = NODES;
	r->organisations = organisations;
	r->pools = mem_zalloc(organisations, sizeof(struct quota_pool *));
	for (uint32_t i = 0; i < organisations; i++) {
		text_format(name, sizeof(name), "organisation-%u", i);
		r->pools[i] = quota_share_set(&r->share, name, &rule);
	}
}

static void run_done(struct run *r)
{
	struct flight *f, *tmp;

	quota_share_done(&r->share);
	list_for_each_entry_safe(f, tmp, &r->flights, link)
		free(f);
	free(r->pools);
}

static void send_asks(struct run *r)
{
	struct quota_pool *p;

	while ((p = quota_share_next_ask(&r->share, r->now_ns))) {
		struct flight *f = mem_new(struct flight);

		f->pool = p;
		f->at_ns = r->now_ns + RTT_NS;
		f->grant.sent_ns = p->ask_sent_ns;
		f->grant.requests = p->asked;
		f->grant.valid_ns = p->rule.valid_ns;
		list_push_back(&r->flights, &f->link);
	}
}

static void free_decided(struct run *r)
{
	struct quota_waiter *w;

	while ((w = quota_share_pop_decided(&r->share)))
		free(w);
}

static void take_grants(struct run *r)
{
	struct flight *f, *tmp;

	list_for_each_entry_safe(f, tmp, &r->flights, link) {
		if (f->at_ns > r->now_ns)
			return;
		quota_share_on_grant(&r->share, f->pool, &f->grant, r->now_ns,
				     &r->rng);
		list_remove(&f->link);
		free(f);
		free_decided(r);
	}
}

static void one_request(struct run *r)
{
	struct quota_waiter *w = mem_new(struct quota_waiter);
	const char *name =
		r->pools[rng_below(&r->rng, r->organisations)]->organisation;

	list_init(&w->link);
	w->hold_until_ns = r->now_ns + NS_PER_S;
	r->requests++;
	if (quota_share_admit(&r->share, quota_share_find(&r->share, name), w,
			      r->now_ns, &r->rng) == QUOTA_WAITS)
		return;
	r->passed_at_once++;
	free(w);
}

static size_t message_bytes(enum message_kind kind)
{
	struct message *m = message_new(kind);
	struct wire_buf buf;

	if (kind == MSG_QUOTA_ASK) {
		mem_copy_str(m->u.quota_ask.account, "organisation-1234",
			     JD_NAME_MAX);
		mem_copy_str(m->u.quota_ask.reply_to, "10.0.123.45:7400",
			     JD_ADDR_MAX);
		m->u.quota_ask.sent_ns = UINT64_C(1) << 50;
		m->u.quota_ask.requests = 10;
	} else {
		mem_copy_str(m->u.quota_grant.account, "organisation-1234",
			     JD_NAME_MAX);
		m->u.quota_grant.sent_ns = UINT64_C(1) << 50;
		m->u.quota_grant.requests = 10;
		m->u.quota_grant.valid_ns = 300 * NS_PER_MS;
	}
	m->from = UINT64_C(1) << 60;
	m->to = UINT64_C(1) << 60;
	wire_encode_message(m, &buf);
	free(buf.data);
	message_delete(m);
	return buf.len;
}

static void measure_entry(uint32_t organisations)
{
	struct run r = {.now_ns = 100 * NS_PER_S};
	uint64_t gap_ns = (uint64_t)((double)NS_PER_S * NODES / REQUESTS_PER_S);
	uint64_t end_ns = r.now_ns + RUN_S * NS_PER_S;
	double cpu, asks_per_s;

	run_init(&r, organisations);
	cpu = cpu_ns();
	while (r.now_ns < end_ns) {
		r.now_ns += gap_ns;
		take_grants(&r);
		one_request(&r);
		send_asks(&r);
	}
	cpu = cpu_ns() - cpu;
	asks_per_s = (double)r.share.asks / RUN_S;
	printf("entry organisations=%u requests_per_s=%.0f ns_per_request=%.0f "
	       "at_once=%.3f asks_per_s=%.0f unused=%.3f bytes_per_s=%.0f "
	       "memory_kb=%.0f\n",
	       organisations, (double)r.requests / RUN_S,
	       cpu / (double)r.requests,
	       (double)r.passed_at_once / (double)r.requests, asks_per_s,
	       (double)r.share.unused / (double)r.share.granted,
	       asks_per_s * (double)(message_bytes(MSG_QUOTA_ASK) +
				     message_bytes(MSG_QUOTA_GRANT)),
	       (double)(sizeof(r.share) +
			organisations * sizeof(struct quota_pool)) /
		       1024);
	run_done(&r);
}

static void measure_bank(uint32_t organisations)
{
	struct quota_opts opts = {.rate_per_s = 1e6, .burst = 1e6};
	struct quota_bank bank;
	struct quota_rule rule;
	struct rng rng;
	uint64_t now_ns = 100 * NS_PER_S;
	char name[JD_NAME_MAX];
	double cpu;

	rng_init(&rng, 1);
	quota_rule_init(&rule, &opts);
	quota_bank_init(&bank);
	cpu = cpu_ns();
	for (uint32_t i = 0; i < BANK_ASKS; i++) {
		text_format(name, sizeof(name), "organisation-%u",
			    i % organisations);
		now_ns += NS_PER_US;
		quota_bank_ask(&bank,
			       quota_bank_hold(&bank, name, &rule, 1, now_ns),
			       2, now_ns, &rng);
	}
	cpu = cpu_ns() - cpu;
	printf("keeper organisations=%u ns_per_ask=%.0f ask_bytes=%zu "
	       "grant_bytes=%zu\n",
	       organisations, cpu / BANK_ASKS, message_bytes(MSG_QUOTA_ASK),
	       message_bytes(MSG_QUOTA_GRANT));
	quota_bank_done(&bank);
}

int main(void)
{
	measure_entry(72);
	measure_entry(5000);
	measure_bank(72);
	measure_bank(5000);
	return 0;
}
