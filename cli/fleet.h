/** A fleet with keepers, as its store lists it and its nodes report it. */
#ifndef JD_CLI_FLEET_H
#define JD_CLI_FLEET_H

#include <jansson.h>

#include "cli/http_call.h"
#include "core/status.h"
#include "core/view.h"

/** A node as its roster lists it, and its answer to the last fleet_fetch(). */
struct fleet_member {
	const struct roster *roster;
	const struct member *member;
	json_t *page; /* NULL without a valid answer */
};

struct fleet {
	struct view view;
	size_t count;
	struct fleet_member *nodes; /* by data centre and name */
};

/**
 * Reads the store's documents and lists the nodes. Returns the code of @st,
 * which explains a failure. Call fleet_done() after a failure too.
 */
enum status_code fleet_read(struct fleet *f, const char *store,
			    struct status *st);
void fleet_done(struct fleet *f);

/** GETs the JSON at @path from each node into its page. */
void fleet_fetch(struct fleet *f, const char *path);

/** The node called @name; NULL if there is none. */
const struct fleet_member *fleet_find(const struct fleet *f, const char *name);

/** Name of the node with incarnation @inc; "-" if there is none. */
const char *fleet_name(const struct fleet *f, incarnation_t inc);

/** Revision of the manifest in force; 0 if there is none. */
revision_t fleet_manifest_revision(const struct fleet *f);

#endif
