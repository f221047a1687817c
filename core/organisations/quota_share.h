/**
 * The entry's side of quotas: the shares that keepers have granted, and the
 * requests that wait for one. It sends nothing itself: its owner takes the
 * asks that are due with quota_share_next_ask().
 */
#ifndef JD_CORE_QUOTA_SHARE_H
#define JD_CORE_QUOTA_SHARE_H

#include "core/list.h"
#include "core/organisations/quota_rule.h"
#include "core/rng.h"

#define QUOTA_SHARE_BUCKETS 1024

enum quota_verdict {
	QUOTA_WAITS, /* for the keeper's answer */
	QUOTA_PASSES,
	QUOTA_OVER,	/* the quota is used up */
	QUOTA_NO_SHARE, /* no keeper has answered in time */
};

/** A request at its entry; list_init() @link before use. */
struct quota_waiter {
	struct list link; /* in quota_pool.waiting or quota_share.decided */
	enum quota_verdict verdict;
	uint64_t hold_until_ns;	 /* it is decided by then */
	uint64_t expires_ns;	 /* of the share that it used; 0: none */
	uint64_t retry_after_ns; /* if it is refused */
	uint32_t part;	/* of the quota, where it waits or has its share */
	uint32_t tries; /* parts that it was offered to */
};

/** Granted requests that were not used yet. */
struct quota_batch {
	struct list link;
	uint64_t expires_ns;
	uint64_t left;
};

/** A request that ran without the keeper's share. */
struct quota_spent {
	struct list link;
	uint64_t at_ns;
};

/** What this entry knows of one organisation's quota. */
struct quota_pool {
	struct list link;
	struct list by_name;
	struct list active; /* in quota_share.active: it waits or asks */
	char organisation[JD_QUOTA_NAME_MAX]; /* and part */
	struct quota_rule rule;
	uint32_t key;	     /* whose owner is the keeper */
	uint64_t generation; /* of the configuration that has it */
	struct list batches; /* of struct quota_batch, by @expires_ns */
	uint64_t available;  /* in @batches */
	struct list waiting; /* of struct quota_waiter */
	uint32_t waiting_count;
	double demand; /* requests, decaying; see quota_share.c */
	uint64_t demand_ns;
	bool in_flight;	      /* an ask is */
	uint64_t ask_sent_ns; /* the last one; no two are alike */
	uint64_t asked;	      /* by it */
	uint64_t next_ask_ns; /* no ask is sent before */
	uint64_t denied_until_ns;
	uint64_t denied_ns; /* last denial; 0: never */
	/* Requests that may wait for an answer soon after a denial. */
	uint64_t wait_limit;
	uint64_t answered_ns;	  /* last answer of a keeper; 0: never */
	uint64_t last_granted;	  /* by it */
	uint64_t silent_since_ns; /* no keeper has answered; 0: one does */
	uint64_t probe_ns;	  /* if so: the next request tries it then */
	uint32_t parts;		  /* of the organisation's quota */
	struct list spent;	  /* of struct quota_spent, in one window */
	uint32_t spent_count;
};

struct quota_share {
	struct list pools; /* of struct quota_pool */
	struct list by_name[QUOTA_SHARE_BUCKETS];
	struct list active;
	struct list decided; /* of struct quota_waiter */
	uint64_t generation;
	bool fixed; /* the fleet can't have keepers */
	/* Nodes that the fleet has had at most, by this process's view. */
	uint32_t nodes;
	uint64_t settled_ns; /* @nodes are known from then on */
	uint64_t asks;
	uint64_t repeats; /* of asks that got no answer */
	uint64_t granted; /* requests */
	uint64_t unused;  /* granted requests that expired */
	uint64_t stale;	  /* grants that came too late or twice */
	uint64_t cut_off; /* requests that ran without a keeper's share */
};

void quota_share_init(struct quota_share *s, uint64_t settled_ns);
void quota_share_done(struct quota_share *s);

/** Begins to replace all limits; quota_share_set() each one, then end. */
void quota_share_begin(struct quota_share *s);
struct quota_pool *quota_share_set(struct quota_share *s,
				   const char *organisation,
				   const struct quota_rule *rule);
/** The next pool that was not set; its waiters pass. NULL: there is none. */
struct quota_pool *quota_share_outdated(struct quota_share *s);
void quota_share_drop(struct quota_share *s, struct quota_pool *p);

/** The number of the key whose owner keeps the organisation's quota. */
uint32_t quota_key(const char *organisation);

/** NULL: the organisation has no limit. */
struct quota_pool *quota_share_find(const struct quota_share *s,
				    const char *organisation);

/** True if a request had better be offered to another part of the quota. */
bool quota_share_unlikely(struct quota_pool *p, uint64_t now_ns);

/** Decides on a request or, if the result is QUOTA_WAITS, lists it. */
enum quota_verdict quota_share_admit(struct quota_share *s,
				     struct quota_pool *p,
				     struct quota_waiter *w, uint64_t now_ns,
				     struct rng *rng);

/** Takes back the share of a request that has not run and will not. */
void quota_share_give_back(struct quota_share *s, struct quota_pool *p,
			   struct quota_waiter *w, uint64_t now_ns);

/** Removes a waiter whose request has ended. */
void quota_share_forget(struct quota_pool *p, struct quota_waiter *w);

/** The next ask that is due, for p->asked requests at p->ask_sent_ns. */
struct quota_pool *quota_share_next_ask(struct quota_share *s, uint64_t now_ns);

/** A keeper's answer to the ask of @sent_ns. */
struct quota_grant {
	uint64_t sent_ns;
	uint64_t requests;
	uint64_t valid_ns;
	uint64_t retry_after_ns;
	bool unknown; /* the node does not keep the quota */
};

void quota_share_on_grant(struct quota_share *s, struct quota_pool *p,
			  const struct quota_grant *g, uint64_t now_ns,
			  struct rng *rng);

/** Notes that no keeper is known for the pool's ask. */
void quota_share_no_keeper(struct quota_pool *p, uint64_t now_ns);

/** Decides on waiters whose time has come. */
void quota_share_work(struct quota_share *s, uint64_t now_ns, struct rng *rng);

/** The next waiter that was decided on, out of its list; NULL: none. */
struct quota_waiter *quota_share_pop_decided(struct quota_share *s);

#endif
