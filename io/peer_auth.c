#include "io/peer_auth.h"

#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "core/mem.h"

#define ZAP_ENDPOINT	 "inproc://zeromq.zap.01"
#define ZAP_DOMAIN	 "jackdaw"
#define ZAP_VERSION	 "1.0"
#define MONITOR_ENDPOINT "inproc://peer-auth-monitor"
#define KEY_BYTES	 32
#define FRAME_MAX_BYTES	 256
#define MONITOR_EVENTS                                                         \
	(ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL |                                \
	 ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL |                                 \
	 ZMQ_EVENT_HANDSHAKE_FAILED_AUTH)

struct peer_auth {
	struct peer_keys keys;
	struct event_base *base;
	uint8_t allowed_key[KEY_BYTES]; /* of the clients that may connect */
	void *zmq;
	void *zap;     /* REP, ZAP requests; NULL without keys */
	void *monitor; /* PAIR, failed handshakes; NULL without keys */
	struct event *zap_readable;
	struct event *monitor_readable;
	uint64_t refused;
};

const char *peer_keys_check(const struct peer_keys *k)
{
	char public_key[PEER_KEY_MAX];
	uint8_t raw[KEY_BYTES];

	if (!k->public_key[0] && !k->secret_key[0])
		return NULL;
	if (!k->public_key[0] || !k->secret_key[0])
		return "both keys or none";
	if (strlen(k->public_key) != PEER_KEY_MAX - 1 ||
	    !zmq_z85_decode(raw, k->public_key) ||
	    strlen(k->secret_key) != PEER_KEY_MAX - 1 ||
	    !zmq_z85_decode(raw, k->secret_key))
		return "40 characters of Z85";
	if (zmq_curve_public(public_key, k->secret_key) != 0)
		return "no keys: libzmq was built without CURVE";
	if (strcmp(public_key, k->public_key) != 0)
		return "the public key of that secret key";
	return NULL;
}

bool peer_keys_make(struct peer_keys *k)
{
	return zmq_curve_keypair(k->public_key, k->secret_key) == 0;
}

static void on_readable(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	peer_auth_process(arg);
}

static struct event *watch_socket(struct peer_auth *a, void *socket)
{
	evutil_socket_t fd;
	size_t len = sizeof(fd);
	struct event *ev;

	zmq_getsockopt(socket, ZMQ_FD, &fd, &len);
	ev = event_new(a->base, fd, EV_READ | EV_PERSIST, on_readable, a);
	event_add(ev, NULL);
	return ev;
}

static bool has_keys(const struct peer_auth *a)
{
	return a->keys.public_key[0] != '\0';
}

struct peer_auth *peer_auth_new(struct event_base *base, void *zmq,
				const struct peer_keys *k)
{
	struct peer_auth *a = mem_new(struct peer_auth);

	a->keys = *k;
	a->base = base;
	a->zmq = zmq;
	if (!has_keys(a))
		return a;
	zmq_z85_decode(a->allowed_key, k->public_key);
	a->zap = zmq_socket(zmq, ZMQ_REP);
	zmq_bind(a->zap, ZAP_ENDPOINT);
	a->zap_readable = watch_socket(a, a->zap);
	return a;
}

void peer_auth_delete(struct peer_auth *a)
{
	if (a->zap_readable)
		event_free(a->zap_readable);
	if (a->monitor_readable)
		event_free(a->monitor_readable);
	if (a->monitor)
		zmq_close(a->monitor);
	if (a->zap)
		zmq_close(a->zap);
	free(a);
}

void peer_auth_server(struct peer_auth *a, void *socket)
{
	int on = 1;

	if (!has_keys(a))
		return;
	zmq_setsockopt(socket, ZMQ_CURVE_SERVER, &on, sizeof(on));
	zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, a->keys.secret_key,
		       PEER_KEY_MAX);
	zmq_setsockopt(socket, ZMQ_ZAP_DOMAIN, ZAP_DOMAIN, strlen(ZAP_DOMAIN));
	zmq_socket_monitor(socket, MONITOR_ENDPOINT, MONITOR_EVENTS);
	a->monitor = zmq_socket(a->zmq, ZMQ_PAIR);
	zmq_connect(a->monitor, MONITOR_ENDPOINT);
	a->monitor_readable = watch_socket(a, a->monitor);
}

void peer_auth_client(struct peer_auth *a, void *socket)
{
	if (!has_keys(a))
		return;
	zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, a->keys.public_key,
		       PEER_KEY_MAX);
	zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, a->keys.public_key,
		       PEER_KEY_MAX);
	zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, a->keys.secret_key,
		       PEER_KEY_MAX);
}

/* The frames of a ZAP request, RFC 27. */
enum zap_frame {
	ZAP_FRAME_VERSION,
	ZAP_FRAME_ID,
	ZAP_FRAME_DOMAIN,
	ZAP_FRAME_ADDRESS,
	ZAP_FRAME_IDENTITY,
	ZAP_FRAME_MECHANISM,
	ZAP_FRAME_KEY,
	ZAP_FRAME_COUNT,
};

struct zap_request {
	size_t len[ZAP_FRAME_COUNT];
	uint8_t data[ZAP_FRAME_COUNT][FRAME_MAX_BYTES];
};

static bool has_more(void *socket)
{
	int more = 0;
	size_t len = sizeof(more);

	zmq_getsockopt(socket, ZMQ_RCVMORE, &more, &len);
	return more;
}

/* Reads a complete request, also frames past the known ones; false for none. */
static bool zap_receive(void *zap, struct zap_request *r)
{
	int i = 0;

	memset(r, 0, sizeof(*r));
	do {
		uint8_t discarded[FRAME_MAX_BYTES];
		bool is_known = i < ZAP_FRAME_COUNT;
		int n = zmq_recv(zap, is_known ? r->data[i] : discarded,
				 FRAME_MAX_BYTES, ZMQ_DONTWAIT);

		if (n < 0)
			return false;
		if (is_known && n <= FRAME_MAX_BYTES)
			r->len[i] = (size_t)n;
		i++;
	} while (has_more(zap));
	return true;
}

static bool is_permitted(const struct peer_auth *a, const struct zap_request *r)
{
	static const char mechanism[] = "CURVE";

	return r->len[ZAP_FRAME_MECHANISM] == strlen(mechanism) &&
	       !memcmp(r->data[ZAP_FRAME_MECHANISM], mechanism,
		       strlen(mechanism)) &&
	       r->len[ZAP_FRAME_KEY] == KEY_BYTES &&
	       !memcmp(r->data[ZAP_FRAME_KEY], a->allowed_key, KEY_BYTES);
}

static void zap_reply(void *zap, const struct zap_request *r, bool permitted)
{
	const char *code = permitted ? "200" : "400";

	zmq_send(zap, ZAP_VERSION, strlen(ZAP_VERSION), ZMQ_SNDMORE);
	zmq_send(zap, r->data[ZAP_FRAME_ID], r->len[ZAP_FRAME_ID], ZMQ_SNDMORE);
	zmq_send(zap, code, strlen(code), ZMQ_SNDMORE);
	zmq_send(zap, "", 0, ZMQ_SNDMORE);
	zmq_send(zap, "", 0, ZMQ_SNDMORE);
	zmq_send(zap, "", 0, 0);
}

/* Reads the two frames of an event, ignoring its kind; false for none. */
static bool monitor_receive(void *monitor)
{
	uint8_t frame[FRAME_MAX_BYTES];

	if (zmq_recv(monitor, frame, sizeof(frame), ZMQ_DONTWAIT) < 0)
		return false;
	while (has_more(monitor))
		zmq_recv(monitor, frame, sizeof(frame), 0);
	return true;
}

void peer_auth_process(struct peer_auth *a)
{
	struct zap_request r;

	while (a->zap && zap_receive(a->zap, &r))
		zap_reply(a->zap, &r, is_permitted(a, &r));
	while (a->monitor && monitor_receive(a->monitor))
		a->refused++;
}

uint64_t peer_auth_refused(const struct peer_auth *a)
{
	return a->refused;
}
