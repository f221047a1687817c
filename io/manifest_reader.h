/** Reads the operators' manifest from TOML and checks it. */
#ifndef JD_IO_MANIFEST_READER_H
#define JD_IO_MANIFEST_READER_H

#include "core/finding.h"
#include "core/manifest.h"
#include "core/view.h"

/**
 * Reads @text; @file is its name in findings. Returns a manifest, freed with
 * manifest_delete(); NULL if there is any finding.
 */
struct manifest *manifest_read(const char *file, const char *text,
			       struct findings *f);

/**
 * Like manifest_read(), and also checks the change from the manifest that
 * @fleet runs, unless @fleet is NULL.
 */
struct manifest *manifest_read_change(const char *file, const char *text,
				      const struct view *fleet,
				      struct findings *f);

/** Returns the reference page in Markdown; freed by the caller. */
char *manifest_reference(void);

#endif
