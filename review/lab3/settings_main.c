/*
 * The settings name another address of the store, and a SIGHUP says so. The
 * store itself goes on all the while.
 */
#include <event2/buffer.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "chaos/proxy.h"
#include "review/lab3/lab.h"

#define NODES		 4
#define EVERY_MS	 20
#define OLD_ADDR_MS	 3000 /* it is reachable after the SIGHUP */
#define CONTACT_MS	 3000
#define CONFIG_APPLY_MS	 2000
#define WATCHED_MS	 8000
#define PORT_OLD_ADDRESS 21989
#define CONFIG_FORMAT                                                          \
	"{\"version\":\"%08x\",\"routes\":[{\"name\":\"order-status\","        \
	"\"host\":\"a.example\",\"pathPrefix\":\"/status/\","                  \
	"\"type\":\"idempotent\",\"timeoutS\":2,\"targetLatencyS\":0.6,"       \
	"\"priority\":2,\"service\":\"%s\",\"maxAttempts\":2,"                 \
	"\"allowedRegions\":[]}],\"services\":[{\"name\":\"intake\","          \
	"\"healthPath\":\"/healthz\",\"warmupPerS\":50.0},{\"name\":"          \
	"\"archive\",\"healthPath\":\"/healthz\",\"warmupPerS\":50.0}],"       \
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"      \
	"\"headerTimeoutS\":3,\"idleTimeoutS\":15}}"

struct settings_lab {
	struct lab lab;
	uint64_t acked_ns; /* of the version that moves the route */
	uint32_t requests;
	uint32_t served;
	uint32_t
		by_old_service; /* sent later than configApplyS after the ack */
	uint32_t by_new_service;
	struct event *load;
	uint64_t sent_ns[8192]; /* by the number of the request */
};

struct endpoint_arg {
	struct settings_lab *s;
	bool old_service;
};

static void on_run(void *arg, const char *id)
{
	struct endpoint_arg *a = arg;
	struct settings_lab *s = a->s;
	uint32_t number = (uint32_t)strtoul(id + 1, NULL, 10);

	if (!s->acked_ns || number >= 8192 ||
	    s->sent_ns[number] <
		    s->acked_ns + (uint64_t)CONFIG_APPLY_MS * 1000000)
		return;
	if (a->old_service)
		s->by_old_service++;
	else
		s->by_new_service++;
	lab_note(&s->lab, "event=run id=%s service=%s ms_after_ack=%lu", id,
		 a->old_service ? "intake" : "archive",
		 (unsigned long)((s->sent_ns[number] - s->acked_ns) / 1000000));
}

static void on_answer(struct evhttp_request *req, void *arg)
{
	struct settings_lab *s = arg;

	s->served += req && evhttp_request_get_response_code(req) == 200;
}

static void on_load(evutil_socket_t fd, short what, void *arg)
{
	struct settings_lab *s = arg;
	uint32_t number = ++s->requests;
	const struct lab_node *n = &s->lab.nodes[number % NODES];
	struct evhttp_connection *c = evhttp_connection_base_new(
		s->lab.base, NULL, n->ip,
		(uint16_t)atoi(strchr(n->outbound, ':') + 1));
	struct evhttp_request *req = evhttp_request_new(on_answer, s);
	struct evkeyvalq *h = evhttp_request_get_output_headers(req);
	char text[32];

	(void)fd;
	(void)what;
	if (number < 8192)
		s->sent_ns[number] = lab_now_ns();
	evhttp_connection_set_timeout(c, 4);
	evhttp_connection_free_on_completion(c);
	snprintf(text, sizeof(text), "r%u", number);
	evhttp_add_header(h, "Jackdawpaddle-Request-Id", text);
	evhttp_add_header(h, "Jackdawpaddle-Request-Deadline", "1500");
	evhttp_add_header(h, "Host", "a.example");
	evhttp_add_header(h, "Connection", "close");
	evhttp_make_request(c, req, EVHTTP_REQ_GET, "/status/1");
}

static void put_config(struct settings_lab *s, unsigned version,
		       const char *service)
{
	char text[2048];

	snprintf(text, sizeof(text), CONFIG_FORMAT, version, service);
	kv_server_put(s->lab.store, "op/config", text);
	lab_note(&s->lab, "event=config version=%u service=%s", version,
		 service);
}

/* All daemons learn the store's new address as the pages say. */
static void change_settings(struct lab *l)
{
	memcpy(l->platform_addr, l->store_addr, LAB_ADDR_MAX);
	for (int i = 0; i < NODES; i++) {
		lab_node_configure(l, &l->nodes[i]);
		lab_node_signal(l, &l->nodes[i], SIGHUP);
	}
}

int main(int argc, char **argv)
{
	static struct settings_lab s;
	static struct endpoint_arg args[NODES];
	struct timeval every = {.tv_usec = EVERY_MS * 1000};
	struct lab *l = &s.lab;
	struct lab_endpoint *e[NODES];
	enum lab_verdict verdict = LAB_HELD;
	struct proxy *old_address;
	struct proxy_opts po = {.addr = l->platform_addr,
				.target = l->store_addr};

	lab_init(l, argc > 1 ? argv[1] : ".");
	po.base = l->base;
	snprintf(strchr(l->platform_addr, ':'), 8, ":%d", PORT_OLD_ADDRESS);
	old_address = proxy_new(&po);
	if (!old_address)
		verdict = LAB_NOT_RUN;
	put_config(&s, 3, "intake");
	for (int i = 0; i < NODES; i++) {
		struct lab_node *n =
			lab_add_node(l, i % 2 ? "archive" : "intake");
		char *instance = strdup("i-0");
		struct lab_endpoint_opts o = {.lab = l,
					      .node = n,
					      .slots = 18,
					      .work_ms = 20,
					      .answer_bytes = 500,
					      .on_run = on_run,
					      .arg = &args[i]};

		instance[2] = (char)('1' + i);
		o.instance = instance;
		args[i] = (struct endpoint_arg){.s = &s,
						.old_service = i % 2 == 0};
		lab_node_start(l, n, true);
		e[i] = lab_endpoint_new(&o);
	}
	if (verdict == LAB_HELD && !lab_wait_ready(l, 20000))
		verdict = LAB_NOT_RUN;
	lab_run(l, 2000);
	s.load = event_new(l->base, -1, EV_PERSIST, on_load, &s);
	event_add(s.load, &every);
	lab_run(l, 3000);
	if (l->trouble && verdict == LAB_HELD) {
		change_settings(l);
		lab_run(l, OLD_ADDR_MS);
		proxy_delete(old_address);
		lab_note(l, "event=old_address_closed");
	}
	lab_run(l, CONTACT_MS + 500);
	put_config(&s, 7, "archive");
	s.acked_ns = lab_now_ns();
	lab_run(l, WATCHED_MS);
	event_del(s.load);
	lab_run(l, 2000);
	if (s.served < s.requests / 4)
		verdict = LAB_NOT_RUN;
	else if (s.by_old_service)
		verdict = LAB_BROKEN;
	lab_note(l,
		 "event=result rule=CONFIG by_old_service=%u allowed=0 "
		 "by_new_service=%u requests=%u served=%u verdict=%d",
		 s.by_old_service, s.by_new_service, s.requests, s.served,
		 verdict);
	for (int i = 0; i < NODES; i++)
		lab_endpoint_delete(e[i]);
	if (!l->trouble && old_address)
		proxy_delete(old_address);
	lab_done(l);
	return verdict;
}
