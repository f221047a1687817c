/** The service-level burn of the whole fleet, added up over its nodes. */
#ifndef JD_CLI_BURN_REPORT_H
#define JD_CLI_BURN_REPORT_H

#include <jansson.h>

#include "core/burn.h"
#include "core/list.h"
#include "core/manifest.h"

#define BURN_HISTORY_MAX BURN_BUCKETS_MAX

/** One route and organisation. */
struct burn_row {
	struct list link;
	char route[JD_NAME_MAX];
	char organisation[JD_NAME_MAX]; /* empty: none that is known */
	uint32_t objective_ppm;
	uint64_t objective_ms;
	struct burn_count windows[BURN_WINDOW_COUNT];
	/* By BURN_6_H's buckets, the oldest first. */
	struct burn_count history[BURN_HISTORY_MAX];
};

struct burn_report {
	struct list rows; /* of struct burn_row, by route, organisation */
	size_t asked;	  /* nodes */
	size_t answered;
};

void burn_report_init(struct burn_report *r);
void burn_report_done(struct burn_report *r);

/**
 * Adds what one node's page /-/burn says; NULL for a node that did not
 * answer. Objectives come from @m; routes it has not are left out.
 */
void burn_report_add(struct burn_report *r, const struct manifest *m,
		     json_t *page);

/** Share of the error budget left, 1 all of it; below 0 when overspent. */
double burn_row_budget_left(const struct burn_row *row);

#endif
