/** Checks of a manifest as a whole; its findings have no file position. */
#ifndef JD_CORE_MANIFEST_CHECK_H
#define JD_CORE_MANIFEST_CHECK_H

#include "core/finding.h"
#include "core/manifest.h"
#include "core/view.h"

/**
 * Adds a finding, with its field's path, for each rule that @m breaks, and for
 * each change to the manifest @in_force that running routes and data centres
 * do not allow. @in_force may be NULL.
 */
void manifest_check(const struct manifest *m, const struct manifest *in_force,
		    struct findings *f);

/**
 * Adds a finding for each route that some node of @fleet may serve under the
 * manifest in force there, but none under @m.
 */
void manifest_check_serving_nodes(const struct manifest *m,
				  const struct view *fleet, struct findings *f);

#endif
