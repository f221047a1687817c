#include "io/peers.h"

#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "core/mem.h"
#include "core/text.h"
#include "io/clock.h"
#include "wire/codec.h"
#include "wire/compress.h"

/* Queue to or from one node; the bytes are bounded by what entries keep. */
#define QUEUE_MAX_MESSAGES 1000
#define READ_BATCH	   256
#define SOCKETS_MAX	   4096
/* Sent, but not acknowledged for as long: the connection is given up. */
#define UNACKED_MAX_MS	   3000
/* What waits for a connection: how long, and how many bytes a node. */
#define PENDING_NS	   (500 * NS_PER_MS)
#define PENDING_MAX_BYTES  (1u << 20)
#define PENDING_RETRY_MS   10
/* A node that nothing was sent to for as long needs no connection. */
#define IDLE_NS		   (60 * NS_PER_S)
#define IDLE_SWEEP_S	   10
#define KEEPALIVE_IDLE_S   60

/* A message that waits for the connection to its node. */
struct pending {
	struct list link;
	uint64_t deadline_ns;
	zmq_msg_t msg;
};

struct peer {
	struct list link;
	char addr[JD_ADDR_MAX];
	void *push;
	uint64_t idle_ns; /* to be closed then */
	struct list pending;
	size_t pending_bytes;
};

struct peers {
	struct peers_opts opts;
	void *zmq;
	void *pull;
	struct peer_auth *auth;
	struct event *readable;
	struct event *again; /* more was there than one turn reads */
	struct event *retry; /* something is pending */
	struct event *sweep;
	struct list list; /* of struct peer */
	struct peers_stats stats;
};

static void on_readable(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	peers_read(arg);
}

static void set_int(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void *socket_new(struct peers *p, int type)
{
	void *s = zmq_socket(p->zmq, type);

	set_int(s, ZMQ_LINGER, 0);
	set_int(s, ZMQ_SNDHWM, QUEUE_MAX_MESSAGES);
	set_int(s, ZMQ_RCVHWM, QUEUE_MAX_MESSAGES);
	set_int(s, ZMQ_RECONNECT_IVL, 50);
	set_int(s, ZMQ_RECONNECT_IVL_MAX, 500);
	set_int(s, ZMQ_TCP_MAXRT, UNACKED_MAX_MS);
	set_int(s, ZMQ_TCP_KEEPALIVE, 1);
	set_int(s, ZMQ_TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_S);
	return s;
}

static void pending_delete(struct peer *it, struct pending *m)
{
	list_remove(&m->link);
	it->pending_bytes -= zmq_msg_size(&m->msg);
	zmq_msg_close(&m->msg);
	free(m);
}

static void peer_delete(struct peers *p, struct peer *it)
{
	struct pending *m, *tmp;

	list_for_each_entry_safe(m, tmp, &it->pending, link)
		pending_delete(it, m);
	list_remove(&it->link);
	zmq_close(it->push);
	free(it);
	p->stats.open--;
}

/* Takes the bytes of @msg on success. */
static bool push(struct peers *p, struct peer *it, zmq_msg_t *msg)
{
	size_t len = zmq_msg_size(msg);

	if (zmq_msg_send(msg, it->push, ZMQ_DONTWAIT) < 0)
		return false;
	p->stats.sent++;
	p->stats.sent_bytes += len;
	return true;
}

/* Sends what waits; what waits for too long is dropped. */
static void flush(struct peers *p, struct peer *it, uint64_t now_ns)
{
	struct pending *m, *tmp;

	list_for_each_entry_safe(m, tmp, &it->pending, link) {
		if (!push(p, it, &m->msg)) {
			if (now_ns < m->deadline_ns)
				return;
			p->stats.dropped++;
		}
		pending_delete(it, m);
	}
}

static void arm_retry(struct peers *p)
{
	struct timeval tv = {.tv_usec = PENDING_RETRY_MS * 1000};

	if (!evtimer_pending(p->retry, NULL))
		evtimer_add(p->retry, &tv);
}

static void on_retry(evutil_socket_t fd, short what, void *arg)
{
	struct peers *p = arg;
	uint64_t now = clock_now_ns();
	struct peer *it;

	(void)fd;
	(void)what;
	list_for_each_entry(it, &p->list, link) {
		flush(p, it, now);
		if (!list_empty(&it->pending))
			arm_retry(p);
	}
}

static void on_sweep(evutil_socket_t fd, short what, void *arg)
{
	struct peers *p = arg;
	uint64_t now = clock_now_ns();
	struct peer *it, *tmp;

	(void)fd;
	(void)what;
	list_for_each_entry_safe(it, tmp, &p->list, link)
		if (now >= it->idle_ns)
			peer_delete(p, it);
}

static bool listen_on(struct peers *p, struct status *st)
{
	char url[JD_ADDR_MAX + 8];
	int64_t max = WIRE_MAX_BYTES;
	evutil_socket_t fd;
	size_t len = sizeof(fd);

	p->pull = socket_new(p, ZMQ_PULL);
	zmq_setsockopt(p->pull, ZMQ_MAXMSGSIZE, &max, sizeof(max));
	peer_auth_server(p->auth, p->pull);
	text_format(url, sizeof(url), "tcp://%s", p->opts.addr);
	if (zmq_bind(p->pull, url) != 0) {
		status_set(st, STATUS_IO, "%s: %s", url,
			   zmq_strerror(zmq_errno()));
		return false;
	}
	zmq_getsockopt(p->pull, ZMQ_FD, &fd, &len);
	p->readable = event_new(p->opts.base, fd, EV_READ | EV_PERSIST,
				on_readable, p);
	event_add(p->readable, NULL);
	return true;
}

struct peers *peers_new(const struct peers_opts *o, struct status *st)
{
	struct peers *p = mem_new(struct peers);
	struct timeval sweep = {.tv_sec = IDLE_SWEEP_S};

	p->opts = *o;
	list_init(&p->list);
	p->zmq = zmq_ctx_new();
	zmq_ctx_set(p->zmq, ZMQ_MAX_SOCKETS, SOCKETS_MAX);
	p->auth = peer_auth_new(o->base, p->zmq, &o->keys);
	p->again = evtimer_new(o->base, on_readable, p);
	p->retry = evtimer_new(o->base, on_retry, p);
	p->sweep = event_new(o->base, -1, EV_PERSIST, on_sweep, p);
	event_add(p->sweep, &sweep);
	if (listen_on(p, st))
		return p;
	peers_delete(p);
	return NULL;
}

void peers_delete(struct peers *p)
{
	struct peer *it, *tmp;

	if (p->readable)
		event_free(p->readable);
	event_free(p->again);
	event_free(p->retry);
	event_free(p->sweep);
	list_for_each_entry_safe(it, tmp, &p->list, link)
		peer_delete(p, it);
	zmq_close(p->pull);
	peer_auth_delete(p->auth);
	zmq_ctx_term(p->zmq);
	free(p);
}

static struct peer *peer_get(struct peers *p, const char *addr)
{
	char url[JD_ADDR_MAX + 8];
	struct peer *it;

	list_for_each_entry(it, &p->list, link)
		if (!strcmp(it->addr, addr))
			return it;
	it = mem_new(struct peer);
	mem_copy_str(it->addr, addr, sizeof(it->addr));
	list_init(&it->pending);
	it->push = socket_new(p, ZMQ_PUSH);
	/* Nothing is queued for a node that is not connected. */
	set_int(it->push, ZMQ_IMMEDIATE, 1);
	peer_auth_client(p->auth, it->push);
	text_format(url, sizeof(url), "tcp://%s", addr);
	zmq_connect(it->push, url);
	list_push_back(&p->list, &it->link);
	p->stats.open++;
	return it;
}

/* Takes the bytes of @msg if there is room for them. */
static bool wait_for_connection(struct peers *p, struct peer *it,
				zmq_msg_t *msg, uint64_t now_ns)
{
	size_t len = zmq_msg_size(msg);
	struct pending *m;

	if (it->pending_bytes + len > PENDING_MAX_BYTES)
		return false;
	m = mem_new(struct pending);
	m->deadline_ns = now_ns + PENDING_NS;
	zmq_msg_init(&m->msg);
	zmq_msg_move(&m->msg, msg);
	it->pending_bytes += len;
	list_push_back(&it->pending, &m->link);
	arm_retry(p);
	return true;
}

/* Called on ZeroMQ's thread once the bytes have left. */
static void free_bytes(void *data, void *hint)
{
	(void)hint;
	free(data);
}

static void encode(const struct message *m, bool squeeze, zmq_msg_t *msg)
{
	struct wire_buf b;

	wire_encode_message(m, &b);
	if (squeeze)
		wire_compress(&b);
	zmq_msg_init_data(msg, b.data, b.len, free_bytes, NULL);
}

bool peers_send(struct peers *p, const char *addr, const struct message *m,
		bool squeeze)
{
	struct peer *it = peer_get(p, addr);
	uint64_t now = clock_now_ns();
	zmq_msg_t msg;
	bool ok;

	it->idle_ns = now + IDLE_NS;
	encode(m, squeeze, &msg);
	ok = push(p, it, &msg);
	if (!ok && m->kind != MSG_FORWARD)
		ok = wait_for_connection(p, it, &msg, now);
	if (!ok)
		p->stats.dropped++;
	zmq_msg_close(&msg);
	return ok;
}

/* NULL for bytes that are no message. */
static struct message *decode(zmq_msg_t *msg)
{
	struct message *m = NULL;
	struct wire_buf b;
	struct status st;

	if (wire_decompress(zmq_msg_data(msg), zmq_msg_size(msg), &b))
		m = wire_decode_message(b.data, b.len, &st);
	if (b.data != zmq_msg_data(msg))
		free(b.data);
	return m;
}

/* Appends a message to @batch; false when there is none. */
static bool read_one(struct peers *p, struct list *batch)
{
	struct message *m;
	zmq_msg_t msg;

	zmq_msg_init(&msg);
	if (zmq_msg_recv(&msg, p->pull, ZMQ_DONTWAIT) < 0) {
		zmq_msg_close(&msg);
		return false;
	}
	p->stats.received++;
	p->stats.received_bytes += zmq_msg_size(&msg);
	m = decode(&msg);
	zmq_msg_close(&msg);
	if (m)
		list_push_back(batch, &m->link);
	else
		p->stats.broken++;
	return true;
}

static void deliver(struct peers *p, struct list *batch)
{
	struct message *m, *tmp;

	p->stats.cancelled += messages_drop_cancelled(batch);
	list_for_each_entry_safe(m, tmp, batch, link) {
		list_remove(&m->link);
		p->opts.fn(p->opts.arg, m);
	}
}

/*
 * The descriptor is edge-triggered: it tells only of a change, so reading
 * goes on until nothing is left.
 */
void peers_read(struct peers *p)
{
	struct timeval now = {0, 0};
	struct list batch;
	int count = 0;

	list_init(&batch);
	peer_auth_read(p->auth);
	while (count < READ_BATCH && read_one(p, &batch))
		count++;
	deliver(p, &batch);
	if (count == READ_BATCH)
		evtimer_add(p->again, &now);
}

const struct peers_stats *peers_get_stats(struct peers *p)
{
	p->stats.refused = peer_auth_refused(p->auth);
	return &p->stats;
}
