/**
 * Messages between nodes over ZeroMQ: a PULL socket receives, and each node
 * that was sent a message recently has a PUSH socket. Bulk messages have one of
 * their own: small ones would wait on the link until a large one has passed.
 */
#ifndef JD_IO_PEERS_H
#define JD_IO_PEERS_H

#include <event2/event.h>

#include "core/load/traffic.h"
#include "core/mesh_io.h"
#include "core/message.h"
#include "core/status.h"
#include "io/peer_auth.h"

struct peers;

/** Called for each valid message; takes ownership of it. */
typedef void (*peers_message_fn)(void *arg, struct message *m);

struct peers_opts {
	struct event_base *base;
	const char *addr;      /* of this node; other nodes send to it */
	struct peer_keys keys; /* empty: not encrypted */
	peers_message_fn fn;
	/* For a forward that was kept, but can't be sent; may be NULL. */
	peers_message_fn on_unsent;
	void *arg;
};

struct peers_stats {
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t received;
	uint64_t received_bytes;
	uint64_t broken;	/* received, but not a valid message */
	uint64_t cancelled;	/* received forwards, dropped because their
				   cancellation was received with them */
	uint64_t dropped;	/* not sent: no connection or a full queue */
	uint64_t refused;	/* connections with a wrong key or none */
	uint32_t open;		/* PUSH sockets */
	struct traffic traffic; /* of messages sent or kept */
};

struct peers_send_opts {
	bool compress;
	bool bulk;	   /* sent apart from small messages to the node */
	bool other_region; /* of the receiver; for the statistics */
};

/** NULL with a status when the address can't be bound. */
struct peers *peers_new(const struct peers_opts *o, struct status *st);
void peers_delete(struct peers *p);

/**
 * Sends @m, which the caller keeps, to @addr. False
 * if it was provably not sent. If the connection is not up yet or its queue is
 * full, a forward fails at once; bulk ones and other messages are kept for a
 * short time.
 */
bool peers_send(struct peers *p, const char *addr, const struct message *m,
		struct peers_send_opts opts);

/**
 * Sends @m, which the caller keeps, compressed to each of @to. It is encoded
 * once. A node that is not connected gets it if it is soon, or not at all.
 */
void peers_send_all(struct peers *p, const struct list *to,
		    const struct message *m);

/**
 * Delivers the messages that have come in. Also called after each iteration
 * of the loop, as the descriptor is edge-triggered.
 */
void peers_read(struct peers *p);

const struct peers_stats *peers_get_stats(struct peers *p);

#endif
