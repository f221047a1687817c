#include "io/peers.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>
#include <zmq.h>

#include "core/mem.h"
#include "core/text.h"
#include "io/addr.h"
#include "io/clock.h"
#include "io/log.h"
#include "wire/codec.h"
#include "wire/compress.h"

/*
 * Limits of messages queued to and from one node. A node whose loop is behind
 * keeps what hundreds of others have sent, so it takes few of each: the rest
 * waits at the senders, whose forwards then fail at once.
 */
#define SEND_QUEUE_MAX	    1000
#define RECEIVE_QUEUE_MAX   64
#define RECONNECT_MIN_MS    50
#define RECONNECT_MAX_MS    500
#define READ_BATCH_MESSAGES 256
#define SOCKETS_MAX	    4096
/* A connection with data unacknowledged for this long is closed. */
#define TCP_UNACKED_MAX_MS  3000
/* Limits on messages kept for a connection: time, and bytes for each node. */
#define PENDING_MAX_NS	    (500 * NS_PER_MS)
#define PENDING_MAX_BYTES   (1u << 20)
#define PENDING_RETRY_MS    10
/* The socket of a node that was sent nothing for this long is closed. */
#define IDLE_TIMEOUT_NS	    (60 * NS_PER_S)
#define IDLE_CHECK_S	    10
#define KEEPALIVE_IDLE_S    60
#define PEER_BUCKETS	    256

/* A message kept until its node is connected. */
struct pending_message {
	struct list link;
	uint64_t deadline_ns;
	zmq_msg_t msg;
};

struct peer {
	struct list link;
	struct list in_bucket; /* by its address */
	struct list waiting;   /* in peers.waiting while it has pending ones */
	char addr[JD_ADDR_MAX];
	bool bulk; /* the socket is for bulk messages */
	void *push;
	uint64_t idle_deadline_ns; /* the socket is closed then */
	struct list pending;
	size_t pending_bytes;
};

struct peers {
	struct peers_opts opts;
	void *zmq;
	void *pull;
	struct peer_auth *auth;
	struct event *readable;
	struct event *read_again; /* at once, after a full batch */
	struct event *retry;	  /* while messages are pending */
	struct event *idle_check;
	struct list list;		   /* of struct peer */
	struct list buckets[PEER_BUCKETS]; /* of struct peer, by address */
	struct list waiting;		   /* of struct peer */
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
	set_int(s, ZMQ_SNDHWM, SEND_QUEUE_MAX);
	set_int(s, ZMQ_RCVHWM, RECEIVE_QUEUE_MAX);
	set_int(s, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
	set_int(s, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	set_int(s, ZMQ_TCP_MAXRT, TCP_UNACKED_MAX_MS);
	set_int(s, ZMQ_TCP_KEEPALIVE, 1);
	set_int(s, ZMQ_TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_S);
	return s;
}

static void pending_delete(struct peer *peer, struct pending_message *m)
{
	list_remove(&m->link);
	peer->pending_bytes -= zmq_msg_size(&m->msg);
	zmq_msg_close(&m->msg);
	free(m);
}

static void peer_delete(struct peers *p, struct peer *peer)
{
	struct pending_message *m, *tmp;

	list_for_each_entry_safe(m, tmp, &peer->pending, link)
		pending_delete(peer, m);
	list_remove(&peer->link);
	list_remove(&peer->in_bucket);
	list_remove(&peer->waiting);
	zmq_close(peer->push);
	free(peer);
	p->stats.open--;
}

/* Hands @msg to ZeroMQ, which then owns its bytes; false if it can't. */
static bool send_now(struct peers *p, struct peer *peer, zmq_msg_t *msg)
{
	size_t len = zmq_msg_size(msg);

	if (zmq_msg_send(msg, peer->push, ZMQ_DONTWAIT) < 0)
		return false;
	p->stats.sent++;
	p->stats.sent_bytes += len;
	return true;
}

static struct message *decode(zmq_msg_t *msg);

/* Drops a kept message, and reports a forward, which has not been sent. */
static void drop_pending(struct peers *p, struct pending_message *pending)
{
	struct message *m = p->opts.on_unsent ? decode(&pending->msg) : NULL;

	p->stats.dropped++;
	if (m && m->kind == MSG_FORWARD)
		p->opts.on_unsent(p->opts.arg, m);
	else
		message_delete(m);
}

/* Sends pending messages in order; drops those past their deadline. */
static void flush_pending(struct peers *p, struct peer *peer, uint64_t now_ns)
{
	struct pending_message *m, *tmp;
	bool blocked = false;

	list_for_each_entry_safe(m, tmp, &peer->pending, link) {
		blocked = blocked || !send_now(p, peer, &m->msg);
		if (blocked) {
			if (now_ns < m->deadline_ns)
				continue;
			drop_pending(p, m);
		}
		pending_delete(peer, m);
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
	struct peer *peer, *tmp;

	(void)fd;
	(void)what;
	list_for_each_entry_safe(peer, tmp, &p->waiting, waiting) {
		flush_pending(p, peer, now);
		if (list_empty(&peer->pending))
			list_remove(&peer->waiting);
	}
	if (!list_empty(&p->waiting))
		arm_retry(p);
}

static void on_idle_check(evutil_socket_t fd, short what, void *arg)
{
	struct peers *p = arg;
	uint64_t now = clock_now_ns();
	struct peer *peer, *tmp;

	(void)fd;
	(void)what;
	list_for_each_entry_safe(peer, tmp, &p->list, link)
		if (now >= peer->idle_deadline_ns)
			peer_delete(p, peer);
}

static bool bind_pull(struct peers *p, struct status *st)
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
	struct timeval interval = {.tv_sec = IDLE_CHECK_S};

	p->opts = *o;
	list_init(&p->list);
	list_init(&p->waiting);
	for (int i = 0; i < PEER_BUCKETS; i++)
		list_init(&p->buckets[i]);
	p->zmq = zmq_ctx_new();
	zmq_ctx_set(p->zmq, ZMQ_MAX_SOCKETS, SOCKETS_MAX);
	p->auth = peer_auth_new(o->base, p->zmq, &o->keys);
	p->read_again = evtimer_new(o->base, on_readable, p);
	p->retry = evtimer_new(o->base, on_retry, p);
	p->idle_check = event_new(o->base, -1, EV_PERSIST, on_idle_check, p);
	event_add(p->idle_check, &interval);
	if (bind_pull(p, st))
		return p;
	peers_delete(p);
	return NULL;
}

void peers_delete(struct peers *p)
{
	struct peer *peer, *tmp;

	if (p->readable)
		event_free(p->readable);
	event_free(p->read_again);
	event_free(p->retry);
	event_free(p->idle_check);
	list_for_each_entry_safe(peer, tmp, &p->list, link)
		peer_delete(p, peer);
	zmq_close(p->pull);
	peer_auth_delete(p->auth);
	zmq_ctx_term(p->zmq);
	free(p);
}

static struct list *bucket_of(struct peers *p, const char *addr)
{
	return &p->buckets[XXH32(addr, strlen(addr), 0) % PEER_BUCKETS];
}

static struct peer *peer_new(struct peers *p, const char *addr, bool bulk)
{
	struct peer *peer = mem_new(struct peer);
	char url[JD_ADDR_MAX + 8];

	mem_copy_str(peer->addr, addr, sizeof(peer->addr));
	peer->bulk = bulk;
	list_init(&peer->pending);
	peer->push = socket_new(p, ZMQ_PUSH);
	/* ZeroMQ queues nothing for a node that is not connected. */
	set_int(peer->push, ZMQ_IMMEDIATE, 1);
	peer_auth_client(p->auth, peer->push);
	text_format(url, sizeof(url), "tcp://%s", addr);
	zmq_connect(peer->push, url);
	list_push_back(&p->list, &peer->link);
	list_push_back(bucket_of(p, addr), &peer->in_bucket);
	list_init(&peer->waiting);
	p->stats.open++;
	return peer;
}

/*
 * NULL for an address that can't be connected to. ZeroMQ would look up a name
 * on its own thread, and all other nodes would wait for that.
 */
static struct peer *peer_find_or_add(struct peers *p, const char *addr,
				     bool bulk)
{
	struct sockaddr_in sin;
	struct peer *peer;

	list_for_each_entry(peer, bucket_of(p, addr), in_bucket)
		if (peer->bulk == bulk && !strcmp(peer->addr, addr))
			return peer;
	if (addr_to_sockaddr(addr, &sin))
		return peer_new(p, addr, bulk);
	log_event(LOG_WARN, "event=message_not_sent why=address addr=\"%s\"",
		  addr);
	return NULL;
}

/* Keeps the bytes of @msg until the node is connected; false at the limit. */
static bool keep_pending(struct peers *p, struct peer *peer, zmq_msg_t *msg,
			 uint64_t deadline_ns)
{
	size_t len = zmq_msg_size(msg);
	struct pending_message *m;

	if (peer->pending_bytes + len > PENDING_MAX_BYTES)
		return false;
	m = mem_new(struct pending_message);
	m->deadline_ns = deadline_ns;
	zmq_msg_init(&m->msg);
	zmq_msg_move(&m->msg, msg);
	peer->pending_bytes += len;
	list_push_back(&peer->pending, &m->link);
	if (list_empty(&peer->waiting))
		list_push_back(&p->waiting, &peer->waiting);
	arm_retry(p);
	return true;
}

/* Called on ZeroMQ's thread once it no longer needs the bytes. */
static void free_sent_bytes(void *data, void *hint)
{
	(void)hint;
	free(data);
}

static void encode(const struct message *m, bool compress, zmq_msg_t *msg)
{
	struct wire_buf b;

	wire_encode_message(m, &b);
	if (compress)
		wire_compress(&b);
	zmq_msg_init_data(msg, b.data, b.len, free_sent_bytes, NULL);
}

/* The sender of a forward must learn in time that it was not sent. */
static uint64_t pending_deadline_ns(const struct message *m, uint64_t now_ns)
{
	uint64_t left_ns =
		m->kind == MSG_FORWARD ? m->u.forward.time_left_ns : 0;

	return now_ns +
	       (left_ns && left_ns < PENDING_MAX_NS ? left_ns : PENDING_MAX_NS);
}

bool peers_send(struct peers *p, const char *addr, const struct message *m,
		struct peers_send_opts opts)
{
	struct peer *peer = peer_find_or_add(p, addr, opts.bulk);
	uint64_t now = clock_now_ns();
	zmq_msg_t msg;
	size_t len;
	bool ok;

	if (!peer) {
		p->stats.dropped++;
		return false;
	}
	peer->idle_deadline_ns = now + IDLE_TIMEOUT_NS;
	encode(m, opts.compress, &msg);
	len = zmq_msg_size(&msg);
	ok = send_now(p, peer, &msg);
	if (!ok && (opts.bulk || m->kind != MSG_FORWARD))
		ok = keep_pending(p, peer, &msg, pending_deadline_ns(m, now));
	if (ok)
		traffic_add(&p->stats.traffic, m, len, opts.other_region);
	else
		p->stats.dropped++;
	zmq_msg_close(&msg);
	return ok;
}

void peers_send_all(struct peers *p, const struct list *to,
		    const struct message *m)
{
	uint64_t now = clock_now_ns();
	const struct send_target *t;
	zmq_msg_t msg;

	encode(m, true, &msg);
	list_for_each_entry(t, to, link) {
		struct peer *peer = peer_find_or_add(p, t->addr, false);
		zmq_msg_t copy;

		if (!peer)
			continue;
		peer->idle_deadline_ns = now + IDLE_TIMEOUT_NS;
		zmq_msg_init(&copy);
		zmq_msg_copy(&copy, &msg);
		if (send_now(p, peer, &copy) ||
		    keep_pending(p, peer, &copy, now + PENDING_MAX_NS))
			traffic_add(&p->stats.traffic, m, zmq_msg_size(&msg),
				    false);
		else
			p->stats.dropped++;
		zmq_msg_close(&copy);
	}
	zmq_msg_close(&msg);
}

/* NULL for bytes that are not a valid message. */
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
 * The descriptor is edge-triggered, so messages are read until none is left;
 * after a full batch, in the next iteration of the loop.
 */
void peers_read(struct peers *p)
{
	struct timeval now = {0, 0};
	struct list batch;
	int count = 0;

	list_init(&batch);
	peer_auth_process(p->auth);
	while (count < READ_BATCH_MESSAGES && read_one(p, &batch))
		count++;
	deliver(p, &batch);
	if (count == READ_BATCH_MESSAGES)
		evtimer_add(p->read_again, &now);
}

const struct peers_stats *peers_get_stats(struct peers *p)
{
	p->stats.refused = peer_auth_refused(p->auth);
	return &p->stats;
}
