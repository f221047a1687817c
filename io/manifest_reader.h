/** The operators' manifest from TOML, checked as a whole. */
#ifndef JD_IO_MANIFEST_READER_H
#define JD_IO_MANIFEST_READER_H

#include "core/finding.h"
#include "core/manifest.h"
#include "core/view.h"

/**
 * Reads @text, named @file in findings. NULL when there is any finding;
 * manifest_delete() it.
 */
struct manifest *manifest_read(const char *file, const char *text,
			       struct findings *f);

/** Like manifest_read(), checked as a change of what @fleet runs. */
struct manifest *manifest_read_change(const char *file, const char *text,
				      const struct view *fleet,
				      struct findings *f);

/** The reference page of all fields in Markdown; free() it. */
char *manifest_reference(void);

#endif
