/**
 * Deltas of a leased fleet's manifest: what changed between two of its
 * revisions, so that a node passes a change on without the whole document.
 */
#ifndef JD_CORE_MANIFEST_DELTA_H
#define JD_CORE_MANIFEST_DELTA_H

#include "core/manifest.h"
#include "core/organisations/organisations_delta.h"

/*
 * A change of more routes than the new manifest has, as when most are removed,
 * has no delta unless it is as small as this.
 */
#define MANIFEST_DELTA_ROUTES_MIN 64

/** The name of a route that is no longer in the manifest. */
struct removed_route {
	struct list link;
	char name[JD_NAME_MAX];
};

/** Reference counted, so immutable once it is shared. */
struct manifest_delta {
	uint32_t refs;
	/* The only manifest that it applies to; 0: the empty one. */
	revision_t base;
	revision_t revision; /* of the manifest after it */
	uint64_t version;    /* of the manifest after it */
	uint64_t digest;     /* manifest_digest() of the manifest after it */
	struct caller_limits limits;
	struct list removed;  /* of struct removed_route */
	struct list changed;  /* of struct route: added or replaced ones */
	struct list services; /* of struct service: all of them */
	struct organisations_delta organisations;
};

/** Creates a delta without changes, with one reference. */
struct manifest_delta *manifest_delta_new(void);
/** Adds a reference to @d and returns it. */
struct manifest_delta *manifest_delta_ref(struct manifest_delta *d);
/** Drops a reference; the last one frees @d. NULL is ignored. */
void manifest_delta_unref(struct manifest_delta *d);

/** Each appends an item, for the caller to fill in. */
struct removed_route *manifest_delta_add_removed(struct manifest_delta *d);
struct route *manifest_delta_add_route(struct manifest_delta *d);
struct service *manifest_delta_add_service(struct manifest_delta *d);

/**
 * The delta that turns @a, at revision @base, into @b, at @revision, with one
 * reference. NULL when @b itself is smaller, or when it can't be rebuilt by the
 * names of its routes.
 */
struct manifest_delta *manifest_delta_between(const struct manifest *a,
					      revision_t base,
					      const struct manifest *b,
					      revision_t revision);

/** The delta that makes @m, at @revision, out of the empty manifest. */
struct manifest_delta *manifest_delta_whole(const struct manifest *m,
					    revision_t revision);

/**
 * The manifest that @d makes of @m, owned by the caller; NULL when its digest
 * differs from @d's, as when @m is not the manifest at @d's base, or if @d does
 * not say what organisations there are. @m may be NULL if that is the empty
 * one.
 */
struct manifest *manifest_delta_apply(const struct manifest_delta *d,
				      const struct manifest *m);

/** A digest of all that a leased fleet uses, in any order of the routes. */
uint64_t manifest_digest(const struct manifest *m);

#endif
