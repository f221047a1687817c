#include "io/answer_check.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>

#include "io/log.h"

#define HEAD_MAX_BYTES	(64u << 10)
/* Allowed framing of chunks, as a part of the body's limit. */
#define FRAMING_DIVISOR 4

/* evhttp fails the request when it finds the socket closed. */
static void fail(struct answer_check *k, const char *why)
{
	char *addr = NULL;
	ev_uint16_t port = 0;

	evhttp_connection_get_peer(k->http, &addr, &port);
	log_event(LOG_WARN, "event=answer_invalid why=%s bytes=%zu addr=%s:%u",
		  why, k->received, addr ? addr : "", port);
	k->failed = true;
	shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(k->http)),
		 SHUT_RDWR);
}

/* Reads the last @added bytes of @b, which stay in it. */
static void read_head(struct answer_check *k, struct evbuffer *b, size_t added)
{
	size_t len = evbuffer_get_length(b);
	struct evbuffer_iovec part;
	struct evbuffer_ptr at;

	if (added > len)
		added = len;
	evbuffer_ptr_set(b, &at, len - added, EVBUFFER_PTR_SET);
	while (added && k->head.state != ANSWER_HEAD_COMPLETE &&
	       evbuffer_peek(b, (ev_ssize_t)added, &at, &part, 1) > 0) {
		size_t n = part.iov_len < added ? part.iov_len : added;

		answer_head_read(&k->head, part.iov_base, n);
		added -= n;
		evbuffer_ptr_set(b, &at, n, EVBUFFER_PTR_ADD);
	}
}

static void on_input_change(struct evbuffer *b,
			    const struct evbuffer_cb_info *info, void *arg)
{
	struct answer_check *k = arg;

	k->received += info->n_added;
	if (k->failed || !info->n_added)
		return;
	read_head(k, b, info->n_added);
	if (k->head.state == ANSWER_HEAD_INVALID)
		fail(k, k->head.why);
	else if (k->received > k->max_bytes)
		fail(k, "too_long");
}

void answer_check_init(struct answer_check *k, struct evhttp_connection *http,
		       size_t body_max)
{
	k->http = http;
	k->max_bytes = HEAD_MAX_BYTES + body_max + body_max / FRAMING_DIVISOR;
	answer_check_start(k);
	evhttp_connection_set_max_headers_size(http, HEAD_MAX_BYTES);
	evhttp_connection_set_max_body_size(http, (ev_ssize_t)body_max);
	evbuffer_add_cb(
		bufferevent_get_input(evhttp_connection_get_bufferevent(http)),
		on_input_change, k);
}

void answer_check_start(struct answer_check *k)
{
	k->received = 0;
	k->failed = false;
	answer_head_reset(&k->head);
}

bool answer_check_ok(const struct answer_check *k)
{
	return !k->failed;
}
