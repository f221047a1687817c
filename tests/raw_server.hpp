// A server on a test's event loop that answers with any bytes.
#ifndef JD_TESTS_RAW_SERVER_HPP
#define JD_TESTS_RAW_SERVER_HPP

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <signal.h>

#include <functional>
#include <string>
#include <vector>

#include "free_port.hpp"

struct RawServer {
	struct Conn {
		RawServer *server;
		struct bufferevent *bev;
		bool asked; // a request has come
	};

	// Called with the number of the request, from 1.
	std::function<void(RawServer &, struct bufferevent *, size_t)>
		on_request;
	std::string repeated; // written without end after the first answer
	bool closes = false;  // after each answer
	bool resets = false;  // does so by a reset
	size_t requests = 0;
	std::string last_request; // as far as read at once
	size_t connections = 0;
	size_t written = 0; // of the endless answers
	std::string addr;

	explicit RawServer(struct event_base *b) : base(b)
	{
		signal(SIGPIPE, SIG_IGN);
		while (!listener) {
			struct sockaddr_in a = {};

			addr = free_addr();
			a.sin_family = AF_INET;
			a.sin_port = htons((uint16_t)std::stoi(
				addr.substr(addr.find(':') + 1)));
			a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
			listener = evconnlistener_new_bind(
				b, on_accept, this, LEV_OPT_CLOSE_ON_FREE, 8,
				(struct sockaddr *)&a, sizeof(a));
		}
	}
	~RawServer()
	{
		for (Conn *c : conns) {
			if (c->bev)
				bufferevent_free(c->bev);
			delete c;
		}
		evconnlistener_free(listener);
	}

	static void write(struct bufferevent *bev, const std::string &text)
	{
		bufferevent_write(bev, text.data(), text.size());
	}

	// Writes @text to all open connections but @bev.
	void write_others(const struct bufferevent *bev,
			  const std::string &text)
	{
		for (Conn *c : conns)
			if (c->bev && c->bev != bev)
				write(c->bev, text);
	}

	// Has later connections buffer few bytes that were not read.
	void limit_receive_buffer(int bytes)
	{
		setsockopt(evconnlistener_get_fd(listener), SOL_SOCKET,
			   SO_RCVBUF, &bytes, sizeof(bytes));
	}

	// Ends the connection of @bev, unless it has ended, by a reset.
	void reset(struct bufferevent *bev)
	{
		resets = true;
		for (Conn *c : conns)
			if (c->bev && c->bev == bev)
				close(c);
		resets = false;
	}

private:
	struct event_base *base;
	struct evconnlistener *listener = nullptr;
	std::vector<Conn *> conns;

	static void on_accept(struct evconnlistener *, evutil_socket_t fd,
			      struct sockaddr *, int, void *arg)
	{
		RawServer *s = (RawServer *)arg;
		Conn *c = new Conn{s,
				   bufferevent_socket_new(
					   s->base, fd, BEV_OPT_CLOSE_ON_FREE),
				   false};

		s->connections++;
		s->conns.push_back(c);
		bufferevent_setcb(c->bev, on_read, on_written, on_event, c);
		bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	}
	static void on_read(struct bufferevent *bev, void *arg)
	{
		Conn *c = (Conn *)arg;
		struct evbuffer *in = bufferevent_get_input(bev);

		c->server->last_request.resize(evbuffer_get_length(in));
		evbuffer_remove(in, &c->server->last_request[0],
				c->server->last_request.size());
		c->asked = true;
		c->server->on_request(*c->server, bev, ++c->server->requests);
		if (c->server->closes &&
		    !evbuffer_get_length(bufferevent_get_output(bev)))
			close(c);
	}
	static void on_written(struct bufferevent *bev, void *arg)
	{
		Conn *c = (Conn *)arg;
		RawServer *s = c->server;
		std::string block;

		/* Also called for a new connection. */
		if (!c->asked || (!s->closes && s->repeated.empty()))
			return;
		if (s->closes) {
			close(c);
			return;
		}
		while (block.size() < 8192)
			block += s->repeated;
		s->written += block.size();
		write(bev, block);
	}
	static void on_event(struct bufferevent *, short what, void *arg)
	{
		if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
			close((Conn *)arg);
	}
	static void close(Conn *c)
	{
		struct linger no_linger = {1, 0};

		if (c->server->resets)
			setsockopt(bufferevent_getfd(c->bev), SOL_SOCKET,
				   SO_LINGER, &no_linger, sizeof(no_linger));
		bufferevent_free(c->bev);
		c->bev = nullptr;
	}
};

#endif
