/**
 * Anti-replay windows, one per sender, as in RFC 4303: each sequence number of
 * a sender is accepted once, and none that is older than the window.
 */
#ifndef JD_CORE_REPLAY_H
#define JD_CORE_REPLAY_H

#include "core/list.h"
#include "core/types.h"

#define REPLAY_WINDOW	 4096 /* sequence numbers below the highest */
#define REPLAY_BUCKETS	 64
/* The window of a sender is deleted after this time without a message. */
#define REPLAY_FORGET_NS (3600 * NS_PER_S)

struct replay_sender {
	struct list link; /* in replay.buckets */
	incarnation_t from;
	uint64_t highest; /* sequence number seen */
	uint64_t forget_ns;
	uint64_t seen[REPLAY_WINDOW / 64]; /* one bit per number */
};

struct replay {
	struct list buckets[REPLAY_BUCKETS]; /* of struct replay_sender */
	uint32_t senders; /* number of struct replay_sender */
	uint64_t next_forget_ns;
};

void replay_init(struct replay *r);
void replay_done(struct replay *r);

/**
 * True when @sequence (at least 1) of sender @from was not seen before and is
 * not older than the window.
 */
bool replay_accept(struct replay *r, incarnation_t from, uint64_t sequence,
		   uint64_t now_ns);

#endif
