/**
 * Messages between nodes: ZeroMQ PULL here, one PUSH for each other node
 * that something was sent to lately.
 */
#ifndef JD_IO_PEERS_H
#define JD_IO_PEERS_H

#include <event2/event.h>

#include "core/message.h"
#include "core/status.h"
#include "io/peer_auth.h"

struct peers;

/** Gets each message that decodes; takes it. */
typedef void (*peers_message_fn)(void *arg, struct message *m);

struct peers_opts {
	struct event_base *base;
	const char *addr;      /* of this node, for others */
	struct peer_keys keys; /* empty: in the clear */
	peers_message_fn fn;
	void *arg;
};

struct peers_stats {
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t received;
	uint64_t received_bytes;
	uint64_t broken;    /* received, but no message */
	uint64_t cancelled; /* forwards that were cancelled before they were
			       read */
	uint64_t dropped;   /* not sent: no connection or a full queue */
	uint64_t refused;   /* connections of strangers */
	uint32_t open;	    /* other nodes with a socket */
};

/** NULL with a status when the address can't be bound. */
struct peers *peers_new(const struct peers_opts *o, struct status *st);
void peers_delete(struct peers *p);

/**
 * Sends @m (not taken) to @addr, shortened if @squeeze. False when it was
 * provably not sent. While the connection is being made, a forward is refused
 * and other messages wait for a short time.
 */
bool peers_send(struct peers *p, const char *addr, const struct message *m,
		bool squeeze);

/** Reads what has come in; also called after each turn of the loop. */
void peers_read(struct peers *p);

const struct peers_stats *peers_get_stats(struct peers *p);

#endif
