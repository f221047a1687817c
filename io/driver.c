#include "io/driver.h"

#include <stdlib.h>
#include <sys/random.h>

#include "core/mem.h"
#include "core/node.h"
#include "io/clock.h"
#include "io/frontend.h"
#include "io/log.h"
#include "io/peers.h"
#include "io/status_page.h"
#include "io/store_client.h"
#include "io/upstream_client.h"

/* Limit of a planned stop, also if no node takes over the shards. */
#define STOP_MAX_S	       9
/* Limit for writing the last answers after ACT_EXIT. */
#define EXIT_MAX_NS	       (5 * NS_PER_S)
#define EXIT_CHECK_INTERVAL_MS 5

struct driver {
	struct event_base *base;
	struct node *node;
	struct frontend *frontend;
	struct peers *peers;
	struct store_client *store;
	struct upstream_client *upstream;
	struct event *timer;
	struct event *exit_timer;
	struct event *stop_timer;
	uint64_t exit_deadline_ns; /* 0: not exiting */
	struct actions out;
	bool executing; /* handle_event() is executing the actions in out */
};

static void handle_event(struct driver *d, struct event *ev);

/* Reports to the core that a forward was not sent and so did not run. */
static void fail_unsent_forward(struct driver *d, const struct message *forward)
{
	struct message *m = message_new(MSG_ANSWER);
	struct event ev = {
		.kind = EV_MESSAGE, .now_ns = clock_now_ns(), .u.message = m};

	m->from = forward->to;
	m->to = forward->from;
	m->u.answer.id = forward->u.forward.id;
	m->u.answer.attempt = forward->u.forward.attempt;
	m->u.answer.outcome = OUTCOME_NOT_RUN;
	m->u.answer.refusal = REFUSAL_PEER_DOWN;
	handle_event(d, &ev);
}

static void send_message(struct driver *d, const struct act_send *s)
{
	struct peers_send_opts opts = {.compress = true};

	if (!peers_send(d->peers, s->addr, s->message, opts) &&
	    s->message->kind == MSG_FORWARD)
		fail_unsent_forward(d, s->message);
}

/* Ends the loop once all answers are written, or at the deadline. */
static void on_exit_timer(evutil_socket_t fd, short what, void *arg)
{
	struct timeval interval = {.tv_usec = EXIT_CHECK_INTERVAL_MS * 1000};
	struct driver *d = arg;

	(void)fd;
	(void)what;
	if (frontend_pending(d->frontend) &&
	    clock_now_ns() < d->exit_deadline_ns)
		evtimer_add(d->exit_timer, &interval);
	else
		event_base_loopexit(d->base, NULL);
}

static void start_exit(struct driver *d)
{
	if (d->exit_deadline_ns)
		return;
	d->exit_deadline_ns = clock_now_ns() + EXIT_MAX_NS;
	on_exit_timer(-1, 0, d);
}

static void execute_action(struct driver *d, struct action *a)
{
	switch (a->kind) {
	case ACT_SEND:
		send_message(d, &a->u.send);
		break;
	case ACT_STORE:
		store_client_call(d->store, &a->u.store);
		break;
	case ACT_REPLY:
		frontend_reply(d->frontend, &a->u.reply);
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
		start_exit(d);
		break;
	}
}

static void arm_timer(struct driver *d)
{
	uint64_t next_ns = node_next_ns(d->node);
	uint64_t now = clock_now_ns();
	uint64_t left_ns = next_ns > now ? next_ns - now : 0;
	struct timeval tv = {
		.tv_sec = (time_t)(left_ns / NS_PER_S),
		.tv_usec = (suseconds_t)(left_ns % NS_PER_S / NS_PER_US)};

	if (next_ns != DEADLINE_NEVER)
		evtimer_add(d->timer, &tv);
}

/*
 * An action may report an event before it returns. The nested call only queues
 * the actions of that event; the outer call executes them, in order.
 */
static void handle_event(struct driver *d, struct event *ev)
{
	struct action *a;

	node_handle(d->node, ev, &d->out);
	if (d->executing)
		return;
	d->executing = true;
	while ((a = actions_pop(&d->out))) {
		execute_action(d, a);
		action_delete(a);
	}
	d->executing = false;
	arm_timer(d);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct event ev = {.kind = EV_TICK, .now_ns = clock_now_ns()};

	(void)fd;
	(void)what;
	handle_event(arg, &ev);
}

static void on_frontend(void *arg, struct event *ev)
{
	handle_event(arg, ev);
}

static void on_message(void *arg, struct message *m)
{
	struct event ev = {
		.kind = EV_MESSAGE, .now_ns = clock_now_ns(), .u.message = m};

	handle_event(arg, &ev);
}

static void on_store(void *arg, struct ev_store *s)
{
	struct event ev = {.kind = EV_STORE, .now_ns = clock_now_ns()};

	ev.u.store = *s;
	list_init(&ev.u.store.docs);
	list_splice_back(&ev.u.store.docs, &s->docs);
	handle_event(arg, &ev);
}

static void on_upstream(void *arg, struct ev_upstream_answer *a)
{
	struct event ev = {.kind = EV_UPSTREAM_ANSWER,
			   .now_ns = clock_now_ns(),
			   .u.upstream_answer = *a};

	handle_event(arg, &ev);
}

static char *on_page(void *arg, const char *path)
{
	struct driver *d = arg;

	return status_page(d->node, peers_get_stats(d->peers), path);
}

static void on_stop_timer(evutil_socket_t fd, short what, void *arg)
{
	struct driver *d = arg;

	(void)fd;
	(void)what;
	log_event(LOG_WARN, "event=stop_cut_short requests=%u",
		  frontend_pending(d->frontend));
	event_base_loopexit(d->base, NULL);
}

void driver_drain(struct driver *d)
{
	struct event ev = {.kind = EV_DRAIN, .now_ns = clock_now_ns()};
	struct timeval limit = {.tv_sec = STOP_MAX_S};

	if (!evtimer_pending(d->stop_timer, NULL))
		evtimer_add(d->stop_timer, &limit);
	frontend_drain(d->frontend);
	handle_event(d, &ev);
}

struct driver *driver_new(struct event_base *base, const struct settings *s,
			  struct status *st)
{
	struct driver *d = mem_new(struct driver);
	struct frontend_opts frontend = {.base = base,
					 .addr = s->http_addr,
					 .max_body_bytes = s->max_body_bytes,
					 .on_event = on_frontend,
					 .page = on_page,
					 .arg = d};
	struct peers_opts peers = {.base = base,
				   .addr = s->peer_addr,
				   .keys = s->peer_keys,
				   .fn = on_message,
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
	d->exit_timer = evtimer_new(base, on_exit_timer, d);
	d->stop_timer = evtimer_new(base, on_stop_timer, d);
	d->store = store_client_new(base, s->store_addr, on_store, d);
	d->upstream = upstream_client_new(base, on_upstream, d);
	d->peers = peers_new(&peers, st);
	if (d->peers)
		d->frontend = frontend_new(&frontend, st);
	if (!d->frontend) {
		driver_delete(d);
		return NULL;
	}
	handle_event(d, &ev);
	return d;
}

void driver_delete(struct driver *d)
{
	if (d->frontend)
		frontend_delete(d->frontend);
	if (d->peers)
		peers_delete(d->peers);
	upstream_client_delete(d->upstream);
	store_client_delete(d->store);
	event_free(d->timer);
	event_free(d->exit_timer);
	event_free(d->stop_timer);
	actions_done(&d->out);
	node_delete(d->node);
	free(d);
}
