/**
 * CURVE between nodes: all nodes of a fleet share one key pair, and only who
 * holds it may send. The check (ZAP) runs on the loop.
 */
#ifndef JD_IO_PEER_AUTH_H
#define JD_IO_PEER_AUTH_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#define PEER_KEY_MAX 41 /* Z85 text of 32 bytes, with the closing NUL */

/** Both empty: peers talk in the clear, strangers are not told apart. */
struct peer_keys {
	char public_key[PEER_KEY_MAX];
	char secret_key[PEER_KEY_MAX];
};

/** NULL, or what is wrong with the pair. */
const char *peer_keys_check(const struct peer_keys *k);

/** Makes a new pair; false where the library has no CURVE. */
bool peer_keys_make(struct peer_keys *k);

struct peer_auth;

/** Answers the checks of sockets of context @zmq; before any is bound. */
struct peer_auth *peer_auth_new(struct event_base *base, void *zmq,
				const struct peer_keys *k);
void peer_auth_delete(struct peer_auth *a);

/** Sets up a socket that others connect to; counts whom it turns away. */
void peer_auth_server(struct peer_auth *a, void *socket);
/** Sets up a socket that connects to another node. */
void peer_auth_client(struct peer_auth *a, void *socket);

/** Looks for checks to answer; also called after each turn of the loop. */
void peer_auth_read(struct peer_auth *a);

/** Connections turned away: a wrong key or none. */
uint64_t peer_auth_refused(const struct peer_auth *a);

#endif
