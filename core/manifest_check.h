/** Checks of a manifest across its fields; no file, no places. */
#ifndef JD_CORE_MANIFEST_CHECK_H
#define JD_CORE_MANIFEST_CHECK_H

#include "core/finding.h"
#include "core/manifest.h"
#include "core/view.h"

/**
 * Adds a finding, named by its field's path, for each rule that @m breaks.
 * With the manifest @in_force (may be NULL) also for each change that would
 * break running service.
 */
void manifest_check(const struct manifest *m, const struct manifest *in_force,
		    struct findings *f);

/**
 * Adds a finding for each route that nodes of @fleet can serve under the
 * manifest in force there, but none could under @m.
 */
void manifest_check_serving_nodes(const struct manifest *m,
				  const struct view *fleet, struct findings *f);

#endif
