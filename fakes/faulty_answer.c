#include "fakes/faulty_answer.h"

#include <errno.h>
#include <event2/bufferevent.h>
#include <string.h>
#include <sys/socket.h>

#include "core/text.h"
#include "platform/names.h"

#define HEAD_MAX_BYTES	  512
#define ENDLESS_PER_WRITE 8192

static const char *const names[ANSWER_FAULT_COUNT] = {
	[ANSWER_SOUND] = "sound",
	[ANSWER_REPEATS_REFUSAL] = "repeats_refusal",
	[ANSWER_CUT] = "cut",
	[ANSWER_ENDLESS] = "endless",
};

const char *answer_fault_name(enum answer_fault f)
{
	return f < ANSWER_FAULT_COUNT ? names[f] : "?";
}

/*
 * What doesn't fit into the socket's buffer is lost. False if the caller has
 * closed.
 */
static bool write_bytes(struct evhttp_request *req, const char *data,
			size_t len)
{
	struct evhttp_connection *c = evhttp_request_get_connection(req);
	int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(c));

	return send(fd, data, len, MSG_NOSIGNAL | MSG_DONTWAIT) >= 0 ||
	       errno == EAGAIN || errno == EWOULDBLOCK;
}

static void format_head(char *head, const char *id)
{
	text_format(head, HEAD_MAX_BYTES,
		    "HTTP/1.1 200 OK\r\n" HEADER_REQUEST_ID
		    ": %s\r\n" HEADER_SIGNATURE ": sig-%s\r\n",
		    id, id);
}

void faulty_answer_refuse(struct evhttp_request *req, const char *id)
{
	char text[HEAD_MAX_BYTES];

	text_format(text, sizeof(text),
		    "HTTP/1.1 503 Busy\r\n" HEADER_REQUEST_ID
		    ": %s\r\n" HEADER_NOT_RUN
		    ": 1\r\nContent-Length: 4\r\n\r\nfull",
		    id);
	write_bytes(req, text, strlen(text));
}

void faulty_answer_cut(struct evhttp_request *req, const char *id,
		       struct rng *rng)
{
	char text[HEAD_MAX_BYTES];

	format_head(text, id);
	write_bytes(req, text, rng_below(rng, strlen(text) + 1));
}

void faulty_answer_start(struct evhttp_request *req, const char *id,
			 struct rng *rng)
{
	/* No close may complete the answer. */
	static const char *const starts[] = {
		"X-Long: ",					/* a header */
		"Content-Length: 9999999999\r\n\r\n",		/* a body */
		"Transfer-Encoding: chunked\r\n\r\n",		/* a size */
		"Transfer-Encoding: chunked\r\n\r\nffffff\r\n", /* a chunk */
	};
	char head[HEAD_MAX_BYTES];
	uint64_t i = rng_below(rng, 1 + sizeof(starts) / sizeof(*starts));

	/* Otherwise the stream starts with the first line. */
	if (i >= sizeof(starts) / sizeof(*starts))
		return;
	format_head(head, id);
	write_bytes(req, head, strlen(head));
	write_bytes(req, starts[i], strlen(starts[i]));
}

bool faulty_answer_continue(struct evhttp_request *req)
{
	char block[ENDLESS_PER_WRITE];

	memset(block, '0', sizeof(block));
	return write_bytes(req, block, sizeof(block));
}
