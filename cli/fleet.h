/** The fleet as the store and the nodes show it. */
#ifndef JD_CLI_FLEET_H
#define JD_CLI_FLEET_H

#include <jansson.h>

#include "cli/http_call.h"
#include "core/status.h"
#include "core/view.h"

/** One node's entry and what the node says of itself. */
struct fleet_node {
	const struct roster *roster;
	const struct member *member;
	json_t *page; /* NULL when it does not answer */
};

struct fleet {
	struct view view;
	size_t count;
	struct fleet_node *nodes;
};

/** Reads the store's documents; the status says what went wrong. */
enum status_code fleet_read(struct fleet *f, const char *store,
			    struct status *st);
void fleet_done(struct fleet *f);

/** Asks each node for the JSON at @path. */
void fleet_fetch(struct fleet *f, const char *path);

/** The node called @name; NULL for none. */
const struct fleet_node *fleet_find(const struct fleet *f, const char *name);

/** Name of the node with that incarnation; "-" for none. */
const char *fleet_name(const struct fleet *f, incarnation_t inc);

/** Revision of the manifest in force; 0 for none. */
revision_t fleet_manifest_revision(const struct fleet *f);

#endif
