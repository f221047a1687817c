/**
 * Finds what nodes of a leased fleet accept in a manifest but its operators
 * can't have meant: entries that never match, and limits that contradict each
 * other.
 */
#ifndef JD_CORE_CONFIG_LINT_H
#define JD_CORE_CONFIG_LINT_H

#include "core/finding.h"
#include "core/manifest.h"

/**
 * Adds a finding for each, with @file, which @m was read from, and the path of
 * the field, but no position.
 */
void config_lint(const struct manifest *m, const char *file,
		 struct findings *f);

#endif
