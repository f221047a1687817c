#include "io/driver.h"

#include <stdlib.h>
#include <sys/random.h>

#include "core/mem.h"
#include "core/node.h"
#include "io/clock.h"
#include "io/front.h"
#include "io/log.h"
#include "io/peers.h"
#include "io/status_page.h"
#include "io/store_client.h"
#include "io/upstream_client.h"

struct driver {
	struct event_base *base;
	struct node *node;
	struct front *front;
	struct peers *peers;
	struct store_client *store;
	struct upstream_client *upstream;
	struct event *timer;
	struct actions out;
	bool running; /* inside node_handle's actions */
};

static void act(struct driver *d, struct action *a)
{
	switch (a->kind) {
	case ACT_SEND:
		peers_send(d->peers, a->u.send.addr, a->u.send.message);
		break;
	case ACT_STORE:
		store_client_call(d->store, &a->u.store);
		break;
	case ACT_REPLY:
		front_reply(d->front, &a->u.reply);
		break;
	case ACT_UPSTREAM_CALL:
		upstream_client_call(d->upstream, &a->u.call);
		break;
	case ACT_UPSTREAM_CANCEL:
		upstream_client_cancel(d->upstream, a->u.cancel);
		break;
	case ACT_GRANT:
		upstream_client_grant(d->upstream, &a->u.grant);
		break;
	case ACT_LOG:
		log_write(a->u.log.level, a->u.log.line);
		break;
	case ACT_EXIT:
		event_base_loopexit(d->base, NULL);
		break;
	}
}

static void arm_timer(struct driver *d)
{
	uint64_t next = node_next_ns(d->node);
	uint64_t now = clock_now_ns();
	uint64_t left = next > now ? next - now : 0;
	struct timeval tv = {
		.tv_sec = (time_t)(left / NS_PER_S),
		.tv_usec = (suseconds_t)(left % NS_PER_S / NS_PER_US)};

	if (next != DEADLINE_NEVER)
		evtimer_add(d->timer, &tv);
}

/* An action may end at once in another event; those wait their turn. */
static void handle(struct driver *d, struct event *ev)
{
	struct action *a;

	node_handle(d->node, ev, &d->out);
	if (d->running)
		return;
	d->running = true;
	while ((a = actions_pop(&d->out))) {
		act(d, a);
		action_delete(a);
	}
	d->running = false;
	arm_timer(d);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct event ev = {.kind = EV_TICK, .now_ns = clock_now_ns()};

	(void)fd;
	(void)what;
	handle(arg, &ev);
}

static void on_front(void *arg, struct event *ev)
{
	handle(arg, ev);
}

static void on_message(void *arg, struct message *m)
{
	struct event ev = {
		.kind = EV_MESSAGE, .now_ns = clock_now_ns(), .u.message = m};

	handle(arg, &ev);
}

static void on_store(void *arg, struct ev_store *s)
{
	struct event ev = {.kind = EV_STORE, .now_ns = clock_now_ns()};

	ev.u.store = *s;
	list_init(&ev.u.store.docs);
	list_splice_back(&ev.u.store.docs, &s->docs);
	handle(arg, &ev);
}

static void on_upstream(void *arg, struct ev_upstream_answer *a)
{
	struct event ev = {.kind = EV_UPSTREAM_ANSWER,
			   .now_ns = clock_now_ns(),
			   .u.upstream_answer = *a};

	handle(arg, &ev);
}

static char *on_page(void *arg, const char *path)
{
	struct driver *d = arg;

	return status_page(d->node, peers_stats(d->peers), path);
}

void driver_drain(struct driver *d)
{
	struct event ev = {.kind = EV_DRAIN, .now_ns = clock_now_ns()};

	handle(d, &ev);
}

struct driver *driver_new(struct event_base *base, const struct settings *s,
			  struct status *st)
{
	struct driver *d = mem_new(struct driver);
	struct front_opts front = {.base = base,
				   .addr = s->http_addr,
				   .max_body_bytes = s->max_body_bytes,
				   .on_event = on_front,
				   .page = on_page,
				   .arg = d};
	struct node_opts opts;
	struct event ev = {.kind = EV_TICK, .now_ns = clock_now_ns()};
	uint64_t seed;

	if (getrandom(&seed, sizeof(seed), 0) != sizeof(seed))
		abort();
	settings_node_opts(s, seed, &opts);
	actions_init(&d->out);
	d->base = base;
	d->node = node_new(&opts);
	d->timer = evtimer_new(base, on_timer, d);
	d->store = store_client_new(base, s->store_addr, on_store, d);
	d->upstream = upstream_client_new(base, on_upstream, d);
	d->peers = peers_new(base, s->peer_addr, on_message, d, st);
	if (d->peers)
		d->front = front_new(&front, st);
	if (!d->front) {
		driver_delete(d);
		return NULL;
	}
	handle(d, &ev);
	return d;
}

void driver_delete(struct driver *d)
{
	if (d->front)
		front_delete(d->front);
	if (d->peers)
		peers_delete(d->peers);
	upstream_client_delete(d->upstream);
	store_client_delete(d->store);
	event_free(d->timer);
	actions_done(&d->out);
	node_delete(d->node);
	free(d);
}
