/** Error budget use of the whole fleet, summed over its nodes. */
#ifndef JD_CLI_BURN_REPORT_H
#define JD_CLI_BURN_REPORT_H

#include <jansson.h>

#include "core/burn.h"
#include "core/list.h"
#include "core/manifest.h"

#define BURN_HISTORY_MAX BURN_BUCKETS_MAX

/** Requests of one organisation on one route. */
struct burn_row {
	struct list link;
	char route[JD_NAME_MAX];
	char organisation[JD_NAME_MAX]; /* empty: no known organisation */
	uint32_t objective_ppm;
	uint64_t objective_ms;
	struct burn_count windows[BURN_WINDOW_COUNT];
	/* One count per bucket of BURN_6_H, the oldest first. */
	struct burn_count history[BURN_HISTORY_MAX];
};

struct burn_report {
	struct list rows; /* of struct burn_row, by route and organisation */
	size_t nodes_asked;
	size_t nodes_answered;
};

void burn_report_init(struct burn_report *r);
void burn_report_done(struct burn_report *r);

/**
 * Adds the counts of one node. @page is its answer to /-/burn, NULL for a node
 * that did not answer. Objectives come from @m; routes that @m lacks are left
 * out.
 */
void burn_report_add(struct burn_report *r, const struct manifest *m,
		     json_t *page);

/**
 * Share of the error budget that is left over the longest window: 1 for all
 * of it, below 0 when overspent.
 */
double burn_row_budget_left(const struct burn_row *row);

#endif
