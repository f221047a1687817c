#include "chaos/mesh_fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "core/mem.h"
#include "core/text.h"
#include "io/clock.h"

/* Ports of one node, from its first. */
enum node_port {
	PORT_FRONT,
	PORT_CONTROL,
	PORT_READY,
	PORT_PEER,
	PORT_UPSTREAM,
	PORT_UPSTREAM_PROXY,
	PORT_STORE_PROXY,
	PORTS_EACH = 10,
};

#define PORT_FIRST    21000
#define PORT_STORE    20990
#define CHECK_MS      5
#define ANNOUNCE_MS   300
#define WORK_MS	      20
#define SLOTS	      16
/* drainS of the settings below, and a second for what is on its way. */
#define LATE_LEAVE_NS (3 * NS_PER_S)
/* The bound on an upstream's clock that the fleet is told of. */
#define SLOW_PERCENT  2
#define KEYED_SERVICE "archive"
#define ANY_SERVICE   "intake"

/* Nodes bind where only the proxies reach them, and are known elsewhere. */
static void address(char *addr, bool bound, unsigned port)
{
	unsigned pid = (unsigned)getpid();

	text_format(addr, JD_ADDR_MAX, "127.%u.%u.%u:%u",
		    (bound ? 150 : 20) + (pid >> 16) % 100, pid >> 8 & 255,
		    pid & 255, port);
}

static void name_node(struct mesh_fleet *f, uint32_t i)
{
	struct mesh_node *n = &f->nodes[i];
	unsigned port = PORT_FIRST + i * PORTS_EACH;

	text_format(n->name, sizeof(n->name), "n%u", i);
	text_format(n->region, sizeof(n->region), "r%u", i % 3);
	text_format(n->dc, sizeof(n->dc), "r%u-dc%u", i % 3, i / 3 % 2);
	n->keyed = i % 2;
	address(n->front, false, port + PORT_FRONT);
	address(n->control, false, port + PORT_CONTROL);
	address(n->ready, false, port + PORT_READY);
	address(n->upstream_addr, true, port + PORT_UPSTREAM);
	address(n->upstream_named, false, port + PORT_UPSTREAM_PROXY);
	address(n->store_proxy, false, port + PORT_STORE_PROXY);
	text_format(n->settings, sizeof(n->settings), "%s/%s.conf", f->opts.dir,
		    n->name);
}

static bool write_settings(struct mesh_node *n, uint32_t i)
{
	char bound[JD_ADDR_MAX], known[JD_ADDR_MAX];
	unsigned port = PORT_FIRST + i * PORTS_EACH + PORT_PEER;
	FILE *out = fopen(n->settings, "w");

	if (!out)
		return false;
	address(bound, true, port);
	address(known, false, port);
	*strchr(known, ':') = '\0';
	fprintf(out,
		"node=%s\nzone=%s\nregion=%s\nip=%s\n"
		"listen.inbound=%s\nlisten.outbound=%s\n"
		"listen.readinessAddress=%s\nlisten.control=%s\n"
		"internalPorts=%u,%u\nplatform.address=%s\n"
		"platform.minTtlS=1\nservice=%s\nappAddr=%s\n"
		"heartbeatS=0.3\nbounds=graceS=6,drainS=2,maxHoldS=10,"
		"retryBudgetRatio=0.2,budgetWindowS=10,retryBudgetSlack=60\n",
		n->name, n->dc, n->region, known, bound, n->front, n->ready,
		n->control, port, port, n->store_proxy,
		n->keyed ? KEYED_SERVICE : ANY_SERVICE, n->upstream_named);
	return fclose(out) == 0;
}

void mesh_node_start(struct mesh_fleet *f, uint32_t i)
{
	struct mesh_node *n = &f->nodes[i];
	char program[256], log[256];
	pid_t runner = getpid();
	int fd;

	if (n->pid)
		return;
	text_format(program, sizeof(program), "%s/jackdawd", f->opts.bin);
	text_format(log, sizeof(log), "%s/%s.log", f->opts.dir, n->name);
	n->paused = false;
	n->stopping = false;
	n->pid = fork();
	if (n->pid)
		return;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (getppid() != runner)
		_exit(127);
	fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
	if (fd >= 0) {
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
	}
	/* Connections of the runner's own must end with it alone. */
	close_range(STDERR_FILENO + 1, ~0U, 0);
	setenv("JACKDAWPADDLE_SETTINGS", n->settings, 1);
	execl(program, "jackdawd", "--platform", (char *)NULL);
	_exit(127);
}

void mesh_node_signal(struct mesh_fleet *f, uint32_t i, int sig)
{
	struct mesh_node *n = &f->nodes[i];

	if (!n->pid)
		return;
	kill(n->pid, sig);
	n->paused = sig == SIGSTOP || (n->paused && sig != SIGCONT);
	n->stopping |= sig == SIGTERM;
}

void mesh_fleet_reap(struct mesh_fleet *f)
{
	for (uint32_t i = 0; i < f->opts.nodes; i++) {
		struct mesh_node *n = &f->nodes[i];

		if (n->pid && waitpid(n->pid, NULL, WNOHANG) == n->pid)
			n->pid = 0;
	}
}

static void on_report(void *arg, const struct leased_upstream_report *r)
{
	struct mesh_fleet *f = arg;
	struct mesh_checker *p = f->opts.mesh_checker;
	const char *instance = leased_upstream_instance(r->upstream);
	uint64_t left = leased_upstream_left_ns(r->upstream);

	if (!r->request_id) {
		mesh_checker_row_acquired(p, instance, r->from, r->to,
					  r->fence);
		return;
	}
	mesh_checker_executed(p, r->request_id);
	if (left && clock_now_ns() > left + LATE_LEAVE_NS) {
		p->after_leave++;
		printf("soak: broken=after_leave id=%s instance=%s\n",
		       r->request_id, instance);
	}
}

void mesh_upstream_start(struct mesh_fleet *f, uint32_t i)
{
	struct mesh_node *n = &f->nodes[i];
	char instance[JD_NAME_MAX];
	struct leased_upstream_opts o = {
		.base = f->opts.base,
		.addr = n->upstream_addr,
		.named = n->upstream_named,
		.control = n->control,
		.service = n->keyed ? KEYED_SERVICE : ANY_SERVICE,
		.dc = n->dc,
		.instance = instance,
		.keyed = n->keyed,
		.slots = SLOTS,
		.announce_ms = ANNOUNCE_MS,
		.work_ms = WORK_MS,
		.seed = f->opts.seed * 1000 + i * 50 + n->lives,
		.slow_percent = i % 3 ? 0 : SLOW_PERCENT,
		.report = on_report,
		.arg = f,
	};

	if (n->upstream)
		return;
	text_format(instance, sizeof(instance), "u-%u-%u", i, ++n->lives);
	n->upstream = leased_upstream_new(&o);
	if (!n->upstream)
		printf("soak: upstream %s can't listen\n", n->upstream_addr);
}

void mesh_upstream_crash(struct mesh_fleet *f, uint32_t i)
{
	if (f->nodes[i].upstream)
		leased_upstream_delete(f->nodes[i].upstream);
	f->nodes[i].upstream = NULL;
}

struct holders {
	struct mesh_fleet *fleet;
	const struct leased_upstream *upstream;
	uint32_t index;
	uint64_t now_ns;
};

static uint32_t holder_of[KEYMAP_KEYS]; /* node's number + 1, in one look */

static void mark_row(void *arg, uint32_t from, uint32_t to)
{
	struct holders *h = arg;
	struct mesh_checker *p = h->fleet->opts.mesh_checker;

	for (uint32_t k = from; k <= to; k++) {
		if (holder_of[k] && holder_of[k] != h->index + 1) {
			p->two_holders++;
			printf("soak: broken=two_holders key=%u nodes=%u,%u\n",
			       k, holder_of[k] - 1, h->index);
			return;
		}
		holder_of[k] = h->index + 1;
	}
}

/* No key has two holders at this moment. */
static void on_check(evutil_socket_t fd, short what, void *arg)
{
	struct mesh_fleet *f = arg;
	struct holders h = {.fleet = f, .now_ns = clock_now_ns()};

	(void)fd;
	(void)what;
	memset(holder_of, 0, sizeof(holder_of));
	for (uint32_t i = 0; i < f->opts.nodes; i++) {
		h.index = i;
		h.upstream = f->nodes[i].upstream;
		if (h.upstream && f->nodes[i].keyed)
			leased_upstream_rows(h.upstream, h.now_ns, mark_row,
					     &h);
	}
}

void mesh_fleet_configure(struct mesh_fleet *f)
{
	static const char text[] =
		"{\"version\":\"%08x\",\"routes\":["
		"{\"name\":\"status\",\"host\":\"a.example\",\"pathPrefix\":"
		"\"/status/\",\"type\":\"idempotent\",\"timeoutS\":%u,"
		"\"targetLatencyS\":1,\"priority\":2,\"service\":\"intake\","
		"\"maxAttempts\":3,\"allowedRegions\":[]},"
		"{\"name\":\"pay\",\"host\":\"a.example\",\"pathPrefix\":"
		"\"/pay/\",\"type\":\"non_idempotent\",\"timeoutS\":%u,"
		"\"targetLatencyS\":1,\"priority\":1,\"service\":\"intake\","
		"\"maxAttempts\":2,\"allowedRegions\":[]},"
		"{\"name\":\"view\",\"host\":\"a.example\",\"pathPrefix\":"
		"\"/view/\",\"type\":\"idempotent\",\"timeoutS\":%u,"
		"\"targetLatencyS\":1,\"priority\":1,\"service\":\"archive\","
		"\"maxAttempts\":2,\"allowedRegions\":[]},"
		"{\"name\":\"proof\",\"host\":\"a.example\",\"pathPrefix\":"
		"\"/proof/\",\"type\":\"non_idempotent\",\"timeoutS\":%u,"
		"\"targetLatencyS\":1,\"priority\":0,\"service\":\"archive\","
		"\"maxAttempts\":2,\"allowedRegions\":[]}],"
		"\"services\":[{\"name\":\"intake\",\"warmupPerS\":50.0},"
		"{\"name\":\"archive\",\"sharded\":true}],"
		"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1000,"
		"\"headerTimeoutS\":3,\"idleTimeoutS\":15}}";
	unsigned timeout = 2 + f->config_version % 3;
	char *config = text_new(text, ++f->config_version, timeout, timeout,
				timeout, timeout);

	kv_server_put(f->store, "op/config", config);
	free(config);
}

static bool start_links(struct mesh_fleet *f, uint32_t i)
{
	struct mesh_node *n = &f->nodes[i];
	unsigned port = PORT_FIRST + i * PORTS_EACH + PORT_PEER;
	char bound[JD_ADDR_MAX], known[JD_ADDR_MAX];
	struct proxy_opts o[LINK_COUNT] = {
		[LINK_STORE] = {.addr = n->store_proxy,
				.target = f->store_addr},
		[LINK_PEERS] = {.addr = known, .target = bound},
		[LINK_UPSTREAM] = {.addr = n->upstream_named,
				   .target = n->upstream_addr},
	};

	address(bound, true, port);
	address(known, false, port);
	for (int l = 0; l < LINK_COUNT; l++) {
		o[l].base = f->opts.base;
		n->links[l] = proxy_new(&o[l]);
		if (!n->links[l])
			return false;
	}
	return true;
}

bool mesh_fleet_start(struct mesh_fleet *f, const struct mesh_fleet_opts *o)
{
	struct timeval tv = {.tv_usec = CHECK_MS * 1000};
	struct kv_server_opts store = {.base = o->base};

	memset(f, 0, sizeof(*f));
	f->opts = *o;
	address(f->store_addr, true, PORT_STORE);
	store.addr = f->store_addr;
	f->store = kv_server_new(&store);
	if (!f->store)
		return false;
	mesh_fleet_configure(f);
	for (uint32_t i = 0; i < o->nodes; i++) {
		name_node(f, i);
		if (!start_links(f, i) || !write_settings(&f->nodes[i], i))
			return false;
		mesh_node_start(f, i);
		mesh_upstream_start(f, i);
	}
	f->check = event_new(o->base, -1, EV_PERSIST, on_check, f);
	event_add(f->check, &tv);
	return true;
}

void mesh_fleet_stop(struct mesh_fleet *f)
{
	for (uint32_t i = 0; i < f->opts.nodes; i++) {
		struct mesh_node *n = &f->nodes[i];

		if (n->pid) {
			kill(n->pid, SIGKILL);
			waitpid(n->pid, NULL, 0);
		}
		mesh_upstream_crash(f, i);
		for (int l = 0; l < LINK_COUNT; l++)
			if (n->links[l])
				proxy_delete(n->links[l]);
	}
	if (f->check)
		event_free(f->check);
	if (f->store)
		kv_server_delete(f->store);
}
