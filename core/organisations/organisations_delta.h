/** The part of a manifest's delta that concerns its organisations. */
#ifndef JD_CORE_ORGANISATIONS_ORGANISATIONS_DELTA_H
#define JD_CORE_ORGANISATIONS_ORGANISATIONS_DELTA_H

#include "core/manifest.h"

/* As MANIFEST_DELTA_ROUTES_MIN, for organisations. */
#define ORGANISATIONS_DELTA_MIN 64

/** The name of an organisation that is no longer in the manifest. */
struct removed_organisation {
	struct list link;
	char name[JD_NAME_MAX];
};

struct organisations_delta {
	/* False in a delta of a build that knows of no API keys. */
	bool known;
	bool api_keys_required; /* in the manifest after it */
	struct list removed;	/* of struct removed_organisation */
	struct list changed;	/* of struct organisation: added or replaced */
};

void organisations_delta_init(struct organisations_delta *d);
void organisations_delta_done(struct organisations_delta *d);

/** Each appends an item, for the caller to fill in. */
struct removed_organisation *
organisations_delta_add_removed(struct organisations_delta *d);
struct organisation *
organisations_delta_add_changed(struct organisations_delta *d);

/** Fills @d with all organisations of @m. */
void organisations_delta_whole(struct organisations_delta *d,
			       const struct manifest *m);

/**
 * Fills @d with what turns the organisations of @a into those of @b. False if
 * that is more than @b has.
 */
bool organisations_delta_between(struct organisations_delta *d,
				 const struct manifest *a,
				 const struct manifest *b);

/** Adds to @out what @d makes of the organisations of @m, or of none if NULL.
 */
void organisations_delta_apply(const struct organisations_delta *d,
			       const struct manifest *m, struct manifest *out);

/** 0 for a manifest without organisations; their order does not matter. */
uint64_t organisations_digest(const struct manifest *m);

#endif
