/** Messages between nodes: ZeroMQ PULL here, one PUSH for each other node. */
#ifndef JD_IO_PEERS_H
#define JD_IO_PEERS_H

#include <event2/event.h>

#include "core/message.h"
#include "core/status.h"

struct peers;

/** Gets each message that decodes; takes it. */
typedef void (*peers_message_fn)(void *arg, struct message *m);

struct peers_stats {
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t received;
	uint64_t received_bytes;
	uint64_t broken;  /* received, but no message */
	uint64_t dropped; /* not sent: the queue to that node is full */
};

/** NULL with a status when @addr can't be bound. */
struct peers *peers_new(struct event_base *base, const char *addr,
			peers_message_fn fn, void *arg, struct status *st);
void peers_delete(struct peers *p);

/** Sends @m (not taken) to @addr. */
void peers_send(struct peers *p, const char *addr, const struct message *m);

/** Reads what has come in; also called after each turn of the loop. */
void peers_read(struct peers *p);

const struct peers_stats *peers_stats(const struct peers *p);

#endif
