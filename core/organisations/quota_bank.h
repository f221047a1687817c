/**
 * The keeper's side of quotas: a token bucket for each organisation whose
 * quota this node keeps. A bucket starts empty under each new fence, so that
 * all keepers of a quota together give out no more than one would.
 */
#ifndef JD_CORE_QUOTA_BANK_H
#define JD_CORE_QUOTA_BANK_H

#include "core/list.h"
#include "core/organisations/quota_rule.h"
#include "core/rng.h"

#define QUOTA_BANK_BUCKETS 1024

struct quota_account {
	struct list link;
	char organisation[JD_QUOTA_NAME_MAX]; /* and part */
	struct quota_rule rule;
	uint64_t fence; /* of the key, when the bucket started */
	double tokens;
	uint64_t filled_ns; /* @tokens are of then */
	/* Requests that were denied lately and may come again. */
	double backlog;
	uint64_t contended_until_ns;
};

struct quota_bank {
	struct list by_name[QUOTA_BANK_BUCKETS]; /* of struct quota_account */
	uint64_t asks;
	uint64_t granted; /* requests */
	uint64_t denied;  /* requests */
};

/** What the keeper answers to an ask. */
struct quota_answer {
	uint64_t requests;
	uint64_t retry_after_ns; /* 0: all were granted */
};

void quota_bank_init(struct quota_bank *b);
void quota_bank_done(struct quota_bank *b);

/**
 * Notes that this node keeps the quota under @fence and returns its account.
 * A lower capacity than before holds from the next ask on.
 */
struct quota_account *quota_bank_hold(struct quota_bank *b,
				      const char *organisation,
				      const struct quota_rule *rule,
				      uint64_t fence, uint64_t now_ns);

/** Forgets the account of an organisation without a limit. */
void quota_bank_drop(struct quota_bank *b, const char *organisation);

/** Gives out up to @requests from @a, whose key this node holds at @now_ns. */
struct quota_answer quota_bank_ask(struct quota_bank *b,
				   struct quota_account *a, uint64_t requests,
				   uint64_t now_ns, struct rng *rng);

#endif
