/** Reads a manifest file and prints its findings. */
#ifndef JD_CLI_MANIFEST_FILE_H
#define JD_CLI_MANIFEST_FILE_H

#include <stdbool.h>

#include "core/manifest.h"
#include "core/view.h"

/**
 * Reads the manifest at @path and checks it, as a change of the manifest in
 * @fleet unless @fleet is NULL. Findings go to standard error, or as JSON to
 * standard output with @json. Returns NULL after a finding or if the file
 * can't be read; manifest_delete() the manifest.
 */
struct manifest *manifest_file_read(const char *path, const struct view *fleet,
				    bool json);

#endif
