#include "io/peers.h"

#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "core/mem.h"
#include "core/text.h"
#include "wire/codec.h"

#define QUEUE_MAX_MESSAGES 10000
#define READ_BATCH	   256

struct peer {
	struct list link;
	char addr[JD_ADDR_MAX];
	void *push;
};

struct peers {
	void *zmq;
	void *pull;
	struct event *readable;
	struct event *again; /* more was there than one turn reads */
	struct list list;    /* of struct peer */
	peers_message_fn fn;
	void *arg;
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
	return s;
}

struct peers *peers_new(struct event_base *base, const char *addr,
			peers_message_fn fn, void *arg, struct status *st)
{
	struct peers *p = mem_new(struct peers);
	char url[JD_ADDR_MAX + 8];
	evutil_socket_t fd;
	size_t len = sizeof(fd);

	p->fn = fn;
	p->arg = arg;
	list_init(&p->list);
	p->zmq = zmq_ctx_new();
	p->pull = socket_new(p, ZMQ_PULL);
	text_format(url, sizeof(url), "tcp://%s", addr);
	if (zmq_bind(p->pull, url) != 0) {
		status_set(st, STATUS_IO, "%s: %s", url,
			   zmq_strerror(zmq_errno()));
		peers_delete(p);
		return NULL;
	}
	zmq_getsockopt(p->pull, ZMQ_FD, &fd, &len);
	p->readable = event_new(base, fd, EV_READ | EV_PERSIST, on_readable, p);
	event_add(p->readable, NULL);
	p->again = evtimer_new(base, on_readable, p);
	return p;
}

void peers_delete(struct peers *p)
{
	struct peer *it, *tmp;

	if (p->readable)
		event_free(p->readable);
	if (p->again)
		event_free(p->again);
	list_for_each_entry_safe(it, tmp, &p->list, link) {
		zmq_close(it->push);
		free(it);
	}
	zmq_close(p->pull);
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
	it->push = socket_new(p, ZMQ_PUSH);
	text_format(url, sizeof(url), "tcp://%s", addr);
	zmq_connect(it->push, url);
	list_push_back(&p->list, &it->link);
	return it;
}

void peers_send(struct peers *p, const char *addr, const struct message *m)
{
	struct peer *it = peer_get(p, addr);
	struct wire_buf b;

	wire_encode_message(m, &b);
	if (zmq_send(it->push, b.data, b.len, ZMQ_DONTWAIT) < 0) {
		p->stats.dropped++;
	} else {
		p->stats.sent++;
		p->stats.sent_bytes += b.len;
	}
	free(b.data);
}

static bool read_one(struct peers *p)
{
	struct status st;
	struct message *m;
	zmq_msg_t msg;

	zmq_msg_init(&msg);
	if (zmq_msg_recv(&msg, p->pull, ZMQ_DONTWAIT) < 0) {
		zmq_msg_close(&msg);
		return false;
	}
	p->stats.received++;
	p->stats.received_bytes += zmq_msg_size(&msg);
	m = wire_decode_message(zmq_msg_data(&msg), zmq_msg_size(&msg), &st);
	zmq_msg_close(&msg);
	if (m)
		p->fn(p->arg, m);
	else
		p->stats.broken++;
	return true;
}

/*
 * The descriptor is edge-triggered: it tells only of a change, so reading
 * goes on until nothing is left.
 */
void peers_read(struct peers *p)
{
	struct timeval now = {0, 0};

	for (int i = 0; i < READ_BATCH; i++)
		if (!read_one(p))
			return;
	evtimer_add(p->again, &now);
}

const struct peers_stats *peers_stats(const struct peers *p)
{
	return &p->stats;
}
