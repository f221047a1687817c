#include "chaos/proxy.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "core/list.h"
#include "core/mem.h"
#include "core/types.h"
#include "io/addr.h"
#include "io/clock.h"

#define LISTEN_BACKLOG 256

/** Bytes of one read that are not yet forwarded. */
struct chunk {
	struct list link;
	uint64_t due_ns;
	struct evbuffer *bytes;
};

/** One direction of a connection. */
struct direction {
	struct list chunks; /* of struct chunk, in order */
	struct bufferevent *to;
	bool from_target;
	bool failed; /* nothing can be written to that end any more */
};

/** A connection of a caller and the one to the target that belongs to it. */
struct proxied_conn {
	struct list link;
	struct proxy *proxy;
	struct bufferevent *caller;
	struct bufferevent *target;
	struct direction to_target;
	struct direction to_caller;
	struct event *timer;
	bool ended; /* one end has closed; pending bytes are sent first */
};

struct proxy {
	struct proxy_opts opts;
	char target[JD_ADDR_MAX];
	struct evconnlistener *listener;
	struct list conns; /* of struct proxied_conn */
	enum proxy_mode mode;
	uint32_t delay_ms;
};

static void chunks_delete(struct list *chunks)
{
	struct chunk *c, *tmp;

	list_for_each_entry_safe(c, tmp, chunks, link) {
		list_remove(&c->link);
		evbuffer_free(c->bytes);
		free(c);
	}
}

static void conn_delete(struct proxied_conn *c)
{
	list_remove(&c->link);
	bufferevent_free(c->caller);
	bufferevent_free(c->target);
	event_free(c->timer);
	chunks_delete(&c->to_target.chunks);
	chunks_delete(&c->to_caller.chunks);
	free(c);
}

static bool muted(const struct proxy *p, const struct direction *d)
{
	return p->mode == PROXY_MUTES_ALL ||
	       (p->mode == PROXY_MUTES_BACK && d->from_target);
}

/* Forwards the chunks that are due; returns when the next one is, or 0. */
static uint64_t forward_due(const struct proxy *p, struct direction *d,
			    uint64_t now)
{
	struct chunk *c, *tmp;

	if (muted(p, d))
		return 0;
	list_for_each_entry_safe(c, tmp, &d->chunks, link) {
		if (now < c->due_ns)
			return c->due_ns;
		bufferevent_write_buffer(d->to, c->bytes);
		list_remove(&c->link);
		evbuffer_free(c->bytes);
		free(c);
	}
	return 0;
}

static bool has_unsent(const struct direction *d)
{
	return !d->failed &&
	       (!list_empty(&d->chunks) ||
		evbuffer_get_length(bufferevent_get_output(d->to)));
}

/* Forwards what is due. Frees @c once an end has closed and all is sent. */
static void conn_work(struct proxied_conn *c)
{
	uint64_t now = clock_now_ns();
	uint64_t target_due = forward_due(c->proxy, &c->to_target, now);
	uint64_t caller_due = forward_due(c->proxy, &c->to_caller, now);
	uint64_t next = target_due && (!caller_due || target_due < caller_due)
				? target_due
				: caller_due;

	if (c->ended && !has_unsent(&c->to_target) &&
	    !has_unsent(&c->to_caller)) {
		conn_delete(c);
		return;
	}
	if (next) {
		struct timeval tv = {
			.tv_usec = (suseconds_t)((next - now) / NS_PER_US) + 1};

		tv.tv_sec = tv.tv_usec / 1000000;
		tv.tv_usec %= 1000000;
		evtimer_add(c->timer, &tv);
	}
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	conn_work(arg);
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct proxied_conn *c = arg;
	struct direction *d = bev == c->target ? &c->to_caller : &c->to_target;
	struct evbuffer *in = bufferevent_get_input(bev);
	struct chunk *n;

	if (d->failed) {
		evbuffer_drain(in, evbuffer_get_length(in));
		return;
	}
	n = mem_new(struct chunk);
	n->bytes = evbuffer_new();
	bufferevent_read_buffer(bev, n->bytes);
	n->due_ns = clock_now_ns();
	if (c->proxy->mode == PROXY_DELAYS)
		n->due_ns += c->proxy->delay_ms * NS_PER_MS;
	list_push_back(&d->chunks, &n->link);
	conn_work(c);
}

static void on_write(struct bufferevent *bev, void *arg)
{
	struct proxied_conn *c = arg;

	(void)bev;
	if (c->ended)
		conn_work(c);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct proxied_conn *c = arg;

	if (what & BEV_EVENT_ERROR) {
		struct direction *d =
			bev == c->caller ? &c->to_caller : &c->to_target;

		d->failed = true;
		chunks_delete(&d->chunks);
	}
	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	c->ended = true;
	conn_work(c);
}

static void on_accept(struct evconnlistener *l, evutil_socket_t fd,
		      struct sockaddr *sa, int len, void *arg)
{
	struct proxy *p = arg;
	struct proxied_conn *c = mem_new(struct proxied_conn);
	struct sockaddr_in sin;

	(void)l;
	(void)sa;
	(void)len;
	c->proxy = p;
	list_init(&c->to_target.chunks);
	list_init(&c->to_caller.chunks);
	list_push_back(&p->conns, &c->link);
	c->caller =
		bufferevent_socket_new(p->opts.base, fd, BEV_OPT_CLOSE_ON_FREE);
	c->target =
		bufferevent_socket_new(p->opts.base, -1, BEV_OPT_CLOSE_ON_FREE);
	c->timer = evtimer_new(p->opts.base, on_timer, c);
	c->to_target.to = c->target;
	c->to_caller.to = c->caller;
	c->to_caller.from_target = true;
	bufferevent_setcb(c->caller, on_read, on_write, on_event, c);
	bufferevent_setcb(c->target, on_read, on_write, on_event, c);
	bufferevent_enable(c->caller, EV_READ | EV_WRITE);
	bufferevent_enable(c->target, EV_READ | EV_WRITE);
	if (!addr_to_sockaddr(p->target, &sin) ||
	    bufferevent_socket_connect(c->target, (struct sockaddr *)&sin,
				       sizeof(sin)) != 0)
		conn_delete(c);
}

struct proxy *proxy_new(const struct proxy_opts *o)
{
	struct proxy *p = mem_new(struct proxy);
	struct sockaddr_in sin;

	p->opts = *o;
	mem_copy_str(p->target, o->target, sizeof(p->target));
	list_init(&p->conns);
	if (addr_to_sockaddr(o->addr, &sin))
		p->listener = evconnlistener_new_bind(
			o->base, on_accept, p,
			LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
			LISTEN_BACKLOG, (struct sockaddr *)&sin, sizeof(sin));
	if (p->listener)
		return p;
	free(p);
	return NULL;
}

void proxy_delete(struct proxy *p)
{
	struct proxied_conn *c, *tmp;

	list_for_each_entry_safe(c, tmp, &p->conns, link)
		conn_delete(c);
	evconnlistener_free(p->listener);
	free(p);
}

void proxy_set_mode(struct proxy *p, enum proxy_mode mode, uint32_t delay_ms)
{
	struct proxied_conn *c, *tmp;

	p->mode = mode;
	p->delay_ms = delay_ms;
	list_for_each_entry_safe(c, tmp, &p->conns, link)
		conn_work(c);
}

void proxy_reset(struct proxy *p)
{
	/* With a linger time of 0, close() sends RST. */
	struct linger reset = {.l_onoff = 1};
	struct proxied_conn *c, *tmp;

	list_for_each_entry_safe(c, tmp, &p->conns, link) {
		setsockopt(bufferevent_getfd(c->caller), SOL_SOCKET, SO_LINGER,
			   &reset, sizeof(reset));
		if (bufferevent_getfd(c->target) >= 0)
			setsockopt(bufferevent_getfd(c->target), SOL_SOCKET,
				   SO_LINGER, &reset, sizeof(reset));
		conn_delete(c);
	}
}

const char *proxy_mode_name(enum proxy_mode mode)
{
	switch (mode) {
	case PROXY_PASSES:
		return "passes";
	case PROXY_DELAYS:
		return "delays";
	case PROXY_MUTES_BACK:
		return "mutes_back";
	case PROXY_MUTES_ALL:
		return "mutes_all";
	case PROXY_MODE_COUNT:
		break;
	}
	return "?";
}
