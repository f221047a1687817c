/**
 * Deltas of keymaps: what one change of owners has changed, for the nodes that
 * have the keymap of before. A delta is a keymap with only those rows of the
 * new one that the old one lacks, so it does not cover all keys.
 */
#ifndef JD_CORE_KEYMAP_DELTA_H
#define JD_CORE_KEYMAP_DELTA_H

#include "core/keymap.h"

/** The caller frees it with keymap_delete(). */
struct keymap *keymap_delta_between(const struct keymap *base,
				    const struct keymap *next);

/** Of the fence and of all rows. */
uint64_t keymap_digest(const struct keymap *m);

/**
 * The keymap with @digest of which @delta was made, from @base or an earlier
 * one; NULL if @base is another. The caller frees it with keymap_delete().
 */
struct keymap *keymap_delta_apply(const struct keymap *base,
				  const struct keymap *delta, uint64_t digest);

/** True if the rows are ascending and in the key space; gaps are allowed. */
bool keymap_delta_valid(const struct keymap *delta);

#endif
