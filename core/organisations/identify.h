/** Which organisation a request belongs to, and what then holds for it. */
#ifndef JD_CORE_ORGANISATIONS_IDENTIFY_H
#define JD_CORE_ORGANISATIONS_IDENTIFY_H

#include "core/manifest.h"
#include "core/mesh_io.h"

/** What a manifest says about one request; points into the manifest. */
struct request_rules {
	const struct route *route;
	const struct organisation *organisation; /* NULL: none */
	struct region_set regions;		 /* that may serve it */
	uint32_t priority;			 /* 0 is served first */
};

/**
 * Fills in @rules for the caller of @r, whose route is set. If the manifest
 * requires API keys, the caller's key and what it says about its organisation
 * are removed from the request, which nobody shares yet. REFUSAL_NONE if the
 * request may be served; the refusal may be due to an outdated manifest.
 */
enum refusal identify_caller(const struct manifest *m, struct caller_request *r,
			     struct request_rules *rules);

/** The organisation's name; empty if there is none. */
const char *rules_organisation(const struct request_rules *rules);

#endif
