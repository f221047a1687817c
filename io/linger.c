#include "io/linger.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/list.h"
#include "core/mem.h"
#include "core/types.h"
#include "io/clock.h"
#include "io/socket_opts.h"

#define CHECK_INTERVAL_MS 250
#define STALL_DEFAULT_MS  5000
#define DROP_BYTES	  (16 << 10)
/* The loop's other work waits for one connection no longer than this. */
#define DROP_READS_MAX	  16

struct lingering {
	struct list link;
	struct linger_set *set;
	struct event *event;
	int fd;
	size_t undelivered; /* bytes, when the deadline was set */
	uint64_t deadline_ns;
};

struct linger_set {
	struct linger_opts opts;
	struct list lingers; /* of struct lingering */
};

static void linger_delete(struct lingering *l)
{
	list_remove(&l->link);
	event_free(l->event);
	close(l->fd);
	free(l);
}

static void set_deadline(struct lingering *l, size_t undelivered)
{
	l->undelivered = undelivered;
	l->deadline_ns = clock_now_ns() + l->set->opts.stall_ms * NS_PER_MS;
}

/* Drops what has been received; false once the peer has closed or reset. */
static bool drop_input(int fd)
{
	char dropped[DROP_BYTES];
	ssize_t n;

	for (int i = 0; i < DROP_READS_MAX; i++) {
		n = recv(fd, dropped, sizeof(dropped), MSG_DONTWAIT);
		if (n < 0)
			return errno == EAGAIN || errno == EWOULDBLOCK ||
			       errno == EINTR;
		if (n == 0)
			return false;
	}
	return true;
}

/* Called with input, and at intervals without. */
static void on_event(evutil_socket_t fd, short what, void *arg)
{
	struct lingering *l = arg;
	size_t undelivered;

	(void)what;
	if (!drop_input(fd)) {
		linger_delete(l);
		return;
	}
	undelivered = socket_undelivered(fd);
	if (undelivered < l->undelivered)
		set_deadline(l, undelivered);
	else if (clock_now_ns() >= l->deadline_ns)
		linger_delete(l);
}

struct linger_set *linger_set_new(const struct linger_opts *o)
{
	struct linger_set *s = mem_new(struct linger_set);

	s->opts = *o;
	if (!s->opts.stall_ms)
		s->opts.stall_ms = STALL_DEFAULT_MS;
	list_init(&s->lingers);
	return s;
}

void linger_set_delete(struct linger_set *s)
{
	struct lingering *l, *tmp;

	list_for_each_entry_safe(l, tmp, &s->lingers, link)
		linger_delete(l);
	free(s);
}

void linger_close(struct linger_set *s, int fd)
{
	struct timeval interval = {.tv_usec = CHECK_INTERVAL_MS * 1000};
	struct lingering *l;

	if (shutdown(fd, SHUT_WR) != 0) {
		close(fd);
		return;
	}
	l = mem_new(struct lingering);
	l->set = s;
	l->fd = fd;
	l->event =
		event_new(s->opts.base, fd, EV_READ | EV_PERSIST, on_event, l);
	list_push_back(&s->lingers, &l->link);
	set_deadline(l, socket_undelivered(fd));
	event_add(l->event, &interval);
}

uint32_t linger_undelivered(const struct linger_set *s)
{
	const struct lingering *l;
	uint32_t n = 0;

	list_for_each_entry(l, &s->lingers, link)
		n += socket_undelivered(l->fd) > 0;
	return n;
}
