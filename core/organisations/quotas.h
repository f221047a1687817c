/**
 * Quotas of organisations at one node: its entry's shares, and the buckets of
 * the quotas that it keeps. A large quota has several parts. The keeper of one
 * is the node whose upstream holds the key of its name; see
 * docs/design/quotas.md.
 */
#ifndef JD_CORE_QUOTAS_H
#define JD_CORE_QUOTAS_H

#include "core/holder.h"
#include "core/organisations/quota_bank.h"
#include "core/pending.h"

struct quotas {
	struct quota_bank bank;
	struct quota_share share;
	/* The manifest that the limits are from. */
	const struct manifest *manifest;
	revision_t revision;
	char service[JD_NAME_MAX]; /* whose keys are used; empty: none */
	uint64_t next_sync_ns;
};

void quotas_init(struct quotas *q);
void quotas_done(struct quotas *q);

/** Decides on a new request, which waits if the result is QUOTA_WAITS. */
enum quota_verdict quotas_admit(struct quotas *q, struct mesh_ctx *c,
				struct pending_request *p);

/** The next request that has waited and was decided on; NULL: none. */
struct pending_request *quotas_next_decided(struct quotas *q,
					    struct mesh_ctx *c);

/** Notes that @p ends and has not run: its share is free again. */
void quotas_on_not_run(struct quotas *q, struct mesh_ctx *c,
		       struct pending_request *p);

/** Takes @p, which ends, out of the lists. */
void quotas_forget(struct quotas *q, struct pending_request *p);

void quotas_on_ask(struct quotas *q, struct mesh_ctx *c, const struct holder *h,
		   uint64_t from, const struct msg_quota_ask *a);
void quotas_on_grant(struct quotas *q, struct mesh_ctx *c,
		     const struct msg_quota_grant *g);

/** Sends the asks that are due and decides on requests that wait. */
void quotas_work(struct quotas *q, struct mesh_ctx *c, const struct holder *h);

/** When quotas_work() is next due if no request waits; UINT64_MAX: never. */
uint64_t quotas_next_ns(const struct quotas *q);

#endif
