#include "io/http_disconnect.h"

#include <event2/bufferevent.h>
#include <event2/event.h>

void http_detect_disconnect(struct evhttp_connection *conn)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(conn);
	bufferevent_event_cb on_event;
	bufferevent_data_cb on_read, on_write;
	void *arg;

	bufferevent_getcb(bev, &on_read, &on_write, &on_event, &arg);
	bufferevent_setcb(bev, NULL, on_write, on_event, arg);
	bufferevent_setwatermark(bev, EV_READ, 0, HTTP_PIPELINED_MAX_BYTES);
	bufferevent_enable(bev, EV_READ);
}
