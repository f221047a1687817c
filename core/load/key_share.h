/**
 * Shares of a service's keys for its upstreams, by the requests that each can
 * serve in a second: a slow upstream gets fewer keys. The shares change in
 * large steps only, as a key's requests wait while it moves.
 */
#ifndef JD_CORE_LOAD_KEY_SHARE_H
#define JD_CORE_LOAD_KEY_SHARE_H

#include "core/directory.h"

/** How key_share_update() has changed the shares. */
struct key_share_change {
	uint32_t upstreams; /* that the service has */
	uint32_t measured;  /* of them: their speed is known */
	uint32_t changed;
	uint32_t least; /* share; KEY_SHARE_UNIT is that of a mean upstream */
	uint32_t most;
};

/**
 * Sets dir_node.key_share of the upstreams of @service. Leaves them as they
 * are until most speeds are known.
 */
struct key_share_change key_share_update(struct directory *d,
					 const char *service, uint64_t now_ns);

#endif
