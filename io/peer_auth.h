/**
 * Authentication and encryption between nodes by ZeroMQ's CURVE: all nodes of
 * a fleet share one key pair, and only its holders may connect. The
 * authentication handler (ZAP) runs on the event loop.
 */
#ifndef JD_IO_PEER_AUTH_H
#define JD_IO_PEER_AUTH_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#define PEER_KEY_MAX 41 /* Z85 text of 32 bytes, with the closing NUL */

/** If both are empty, traffic is plain text and anyone may connect. */
struct peer_keys {
	char public_key[PEER_KEY_MAX];
	char secret_key[PEER_KEY_MAX];
};

/** NULL for a valid or empty pair, else what was expected of it. */
const char *peer_keys_check(const struct peer_keys *k);

/** Generates a pair; false if libzmq was built without CURVE. */
bool peer_keys_make(struct peer_keys *k);

struct peer_auth;

/** Runs the ZAP handler of context @zmq; to be called before any bind. */
struct peer_auth *peer_auth_new(struct event_base *base, void *zmq,
				const struct peer_keys *k);
void peer_auth_delete(struct peer_auth *a);

/** Sets up the node's one listening socket and counts refused clients. */
void peer_auth_server(struct peer_auth *a, void *socket);
/** Sets up a socket that connects to another node. */
void peer_auth_client(struct peer_auth *a, void *socket);

/**
 * Answers the authentication requests that have come in. Also called after
 * each iteration of the loop, as the descriptors are edge-triggered.
 */
void peer_auth_process(struct peer_auth *a);

/** Connections refused, with a wrong key or none. */
uint64_t peer_auth_refused(const struct peer_auth *a);

#endif
