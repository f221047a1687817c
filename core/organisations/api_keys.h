/** The API keys of a manifest's organisations, by their text. */
#ifndef JD_CORE_ORGANISATIONS_API_KEYS_H
#define JD_CORE_ORGANISATIONS_API_KEYS_H

#include "core/manifest.h"

struct api_key_index {
	struct list *buckets; /* of struct api_key, by by_text */
	size_t bucket_count;
};

/**
 * Indexes the keys of @organisations, which must outlive the index. The caller
 * frees it with api_keys_delete().
 */
struct api_key_index *api_keys_new(const struct list *organisations);
/** NULL is ignored. */
void api_keys_delete(struct api_key_index *x);

/**
 * The organisation of @text; NULL if no organisation has that key, or if
 * several have it. With the manifest's index the time does not depend on the
 * number of keys.
 */
const struct organisation *api_keys_find(const struct manifest *m,
					 const char *text);

#endif
