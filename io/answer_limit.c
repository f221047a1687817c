#include "io/answer_limit.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>

#include "io/log.h"

#define HEAD_MAX_BYTES	(64u << 10)
/* Allowed framing of chunks, as a part of the body's limit. */
#define FRAMING_DIVISOR 4

/* evhttp fails the request when it finds the socket closed. */
static void on_input_change(struct evbuffer *b,
			    const struct evbuffer_cb_info *info, void *arg)
{
	struct answer_limit *l = arg;
	bool exceeded = l->received > l->max_bytes;

	(void)b;
	l->received += info->n_added;
	if (exceeded || l->received <= l->max_bytes)
		return;
	log_event(LOG_WARN, "event=answer_too_long bytes=%zu", l->received);
	shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(l->http)),
		 SHUT_RDWR);
}

void answer_limit_init(struct answer_limit *l, struct evhttp_connection *http,
		       size_t body_max)
{
	l->http = http;
	l->max_bytes = HEAD_MAX_BYTES + body_max + body_max / FRAMING_DIVISOR;
	l->received = 0;
	evhttp_connection_set_max_headers_size(http, HEAD_MAX_BYTES);
	evhttp_connection_set_max_body_size(http, (ev_ssize_t)body_max);
	evbuffer_add_cb(
		bufferevent_get_input(evhttp_connection_get_bufferevent(http)),
		on_input_change, l);
}

void answer_limit_start(struct answer_limit *l)
{
	l->received = 0;
}
