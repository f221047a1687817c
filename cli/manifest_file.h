/** A manifest from a file, its findings printed. */
#ifndef JD_CLI_MANIFEST_FILE_H
#define JD_CLI_MANIFEST_FILE_H

#include <stdbool.h>

#include "core/manifest.h"
#include "core/view.h"

/**
 * Reads the manifest at @path, as a change of what @fleet runs (may be
 * NULL). NULL after findings, which go to standard error, as JSON to
 * standard output with @json.
 */
struct manifest *manifest_file_read(const char *path, const struct view *fleet,
				    bool json);

#endif
