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

/* Offsets from the first port of a node. */
enum node_port {
	PORT_FRONT,
	PORT_CONTROL,
	PORT_READY,
	PORT_PEER,
	PORT_UPSTREAM,
	PORT_UPSTREAM_PROXY,
	PORT_STORE_PROXY,
	PORTS_PER_NODE = 10,
};

#define PORT_FIRST	   21000
#define PORT_STORE	   20990
#define HOLDER_CHECK_MS	   5
/* Copies of the store, for 15 s. */
#define STORE_COPIES	   60
#define STORE_COPY_MS	   250
#define ANNOUNCE_MS	   300
#define WORK_MS		   20
#define SLOTS		   16
/*
 * After this time an upstream that left runs no more requests: drainS of the
 * settings below, and 1 s for requests in transit.
 */
#define LEAVE_GRACE_NS	   (3 * NS_PER_S)
/* The largest error of an upstream's clock that the nodes allow for. */
#define CLOCK_SLOW_PERCENT 2
#define KEYED_SERVICE	   "archive"
#define UNKEYED_SERVICE	   "intake"

/*
 * A loopback address derived from the process id. With @bound, one that a node,
 * the fake store or a fake upstream binds and that only its proxy connects to;
 * otherwise one that others connect to, as a rule bound by a proxy.
 */
static void format_address(char *addr, bool bound, unsigned port)
{
	unsigned pid = (unsigned)getpid();

	text_format(addr, JD_ADDR_MAX, "127.%u.%u.%u:%u",
		    (bound ? 150 : 20) + (pid >> 16) % 100, pid >> 8 & 255,
		    pid & 255, port);
}

static void init_node(struct mesh_fleet *f, uint32_t i)
{
	struct mesh_node *n = &f->nodes[i];
	unsigned port = PORT_FIRST + i * PORTS_PER_NODE;

	text_format(n->name, sizeof(n->name), "n%u", i);
	text_format(n->region, sizeof(n->region), "r%u", i % 3);
	text_format(n->dc, sizeof(n->dc), "r%u-dc%u", i % 3, i / 3 % 2);
	n->keyed = i % 2;
	format_address(n->front, false, port + PORT_FRONT);
	format_address(n->control, false, port + PORT_CONTROL);
	format_address(n->ready, false, port + PORT_READY);
	format_address(n->upstream_addr, true, port + PORT_UPSTREAM);
	format_address(n->upstream_proxy, false, port + PORT_UPSTREAM_PROXY);
	format_address(n->store_proxy, false, port + PORT_STORE_PROXY);
	text_format(n->settings, sizeof(n->settings), "%s/%s.conf", f->opts.dir,
		    n->name);
}

static bool write_settings(struct mesh_node *n, uint32_t i)
{
	char bound[JD_ADDR_MAX], ip[JD_ADDR_MAX];
	unsigned port = PORT_FIRST + i * PORTS_PER_NODE + PORT_PEER;
	FILE *out = fopen(n->settings, "w");

	if (!out)
		return false;
	format_address(bound, true, port);
	format_address(ip, false, port);
	*strchr(ip, ':') = '\0';
	fprintf(out,
		"node=%s\nzone=%s\nregion=%s\nip=%s\n"
		"listen.inbound=%s\nlisten.outbound=%s\n"
		"listen.readinessAddress=%s\nlisten.control=%s\n"
		"internalPorts=%u,%u\nplatform.address=%s\n"
		"platform.minTtlS=1\nservice=%s\nappAddr=%s\n"
		"heartbeatS=0.3\nbounds=graceS=6,drainS=2,maxHoldS=10,"
		"retryBudgetRatio=0.2,budgetWindowS=10,retryBudgetSlack=60\n",
		n->name, n->dc, n->region, ip, bound, n->front, n->ready,
		n->control, port, port, n->store_proxy,
		n->keyed ? KEYED_SERVICE : UNKEYED_SERVICE, n->upstream_proxy);
	return fclose(out) == 0;
}

void mesh_node_start(struct mesh_fleet *f, uint32_t i)
{
	struct mesh_node *n = &f->nodes[i];
	char program[256], log[256];
	pid_t parent = getpid();
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
	/* No signal comes if the parent ended before prctl(). */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (getppid() != parent)
		_exit(127);
	fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
	if (fd >= 0) {
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
	}
	/* Inherited sockets would keep closed connections open. */
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

		int status;

		if (!n->pid || waitpid(n->pid, &status, WNOHANG) != n->pid)
			continue;
		n->pid = 0;
		if (!WIFSIGNALED(status) || WTERMSIG(status) == SIGKILL ||
		    WTERMSIG(status) == SIGTERM)
			continue;
		f->opts.checker->died++;
		printf("soak: broken=died node=%u signal=%d\n", i,
		       WTERMSIG(status));
	}
}

/* @version: the newest that the process has had in force. */
static void check_log_line(struct mesh_fleet *f, const char *node,
			   const char *line, unsigned long *version)
{
	static const char in_force[] = "event=config_in_force version=";
	const char *at = strstr(line, in_force);
	unsigned long v;

	if (strstr(line, "event=started"))
		*version = 0;
	if (strstr(line, "ERROR: AddressSanitizer")) {
		f->opts.checker->died++;
		printf("soak: broken=died node=%s\n", node);
	}
	if (!at)
		return;
	v = strtoul(at + strlen(in_force), NULL, 10);
	if (v < *version) {
		f->opts.checker->config_back++;
		printf("soak: broken=config_back node=%s version=%lu "
		       "after=%lu\n",
		       node, v, *version);
	}
	*version = v;
}

void mesh_fleet_check_logs(struct mesh_fleet *f)
{
	for (uint32_t i = 0; i < f->opts.nodes; i++) {
		const char *node = f->nodes[i].name;
		unsigned long version = 0;
		char path[256];
		char *line = NULL;
		size_t cap = 0;
		FILE *in;

		text_format(path, sizeof(path), "%s/%s.log", f->opts.dir, node);
		in = fopen(path, "r");
		while (in && getline(&line, &cap, in) >= 0)
			check_log_line(f, node, line, &version);
		free(line);
		if (in)
			fclose(in);
	}
}

static void on_upstream_event(void *arg, const struct leased_upstream_event *ev)
{
	struct mesh_fleet *f = arg;
	struct mesh_checker *checker = f->opts.checker;
	const char *instance = leased_upstream_instance(ev->upstream);
	uint64_t left_ns = leased_upstream_left_ns(ev->upstream);

	if (!ev->request_id) {
		mesh_checker_row_acquired(checker, instance, ev->from, ev->to,
					  ev->fence);
		return;
	}
	mesh_checker_executed(checker, ev->request_id);
	if (left_ns && clock_now_ns() > left_ns + LEAVE_GRACE_NS) {
		checker->after_leave++;
		printf("soak: broken=after_leave id=%s instance=%s\n",
		       ev->request_id, instance);
	}
}

void mesh_upstream_start(struct mesh_fleet *f, uint32_t i)
{
	struct mesh_node *n = &f->nodes[i];
	char instance[JD_NAME_MAX];
	struct leased_upstream_opts o = {
		.base = f->opts.base,
		.addr = n->upstream_addr,
		.announced_addr = n->upstream_proxy,
		.control = n->control,
		.service = n->keyed ? KEYED_SERVICE : UNKEYED_SERVICE,
		.dc = n->dc,
		.instance = instance,
		.keyed = n->keyed,
		.slots = SLOTS,
		.announce_ms = ANNOUNCE_MS,
		.work_ms = WORK_MS,
		.seed = f->opts.seed * 1000 + i * 50 + n->instances,
		.clock_slow_percent = i % 3 ? 0 : CLOCK_SLOW_PERCENT,
		.on_event = on_upstream_event,
		.arg = f,
	};

	if (n->upstream)
		return;
	text_format(instance, sizeof(instance), "u-%u-%u", i, ++n->instances);
	n->upstream = leased_upstream_new(&o);
	if (!n->upstream)
		printf("soak: upstream can't bind %s\n", n->upstream_addr);
}

void mesh_upstream_crash(struct mesh_fleet *f, uint32_t i)
{
	if (f->nodes[i].upstream)
		leased_upstream_delete(f->nodes[i].upstream);
	f->nodes[i].upstream = NULL;
}

/** Argument of mark_row(): the upstream whose rows are marked. */
struct holder_check {
	struct mesh_fleet *fleet;
	const struct leased_upstream *upstream;
	uint32_t index;
	uint64_t now_ns;
};

/* Index + 1 of the node whose upstream holds the key; filled by each check. */
static uint32_t holder_of[KEYMAP_KEYS];

/* Marks the keys as held; reports a key that another upstream holds too. */
static void mark_row(void *arg, uint32_t from, uint32_t to)
{
	struct holder_check *h = arg;
	struct mesh_checker *checker = h->fleet->opts.checker;

	for (uint32_t k = from; k <= to; k++) {
		if (holder_of[k] && holder_of[k] != h->index + 1) {
			checker->two_holders++;
			printf("soak: broken=two_holders key=%u nodes=%u,%u\n",
			       k, holder_of[k] - 1, h->index);
			return;
		}
		holder_of[k] = h->index + 1;
	}
}

/* Checks that no key has two holders now. */
static void on_holder_check(evutil_socket_t fd, short what, void *arg)
{
	struct mesh_fleet *f = arg;
	struct holder_check h = {.fleet = f, .now_ns = clock_now_ns()};

	(void)fd;
	(void)what;
	memset(holder_of, 0, sizeof(holder_of));
	for (uint32_t i = 0; i < f->opts.nodes; i++) {
		h.index = i;
		h.upstream = f->nodes[i].upstream;
		if (h.upstream && f->nodes[i].keyed)
			leased_upstream_for_each_row(h.upstream, h.now_ns,
						     mark_row, &h);
	}
}

void mesh_fleet_configure(struct mesh_fleet *f)
{
	static const char format[] =
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
	char *config = text_new(format, ++f->config_version, timeout, timeout,
				timeout, timeout);

	kv_server_put(f->store, "op/config", config);
	free(config);
}

static bool start_proxies(struct mesh_fleet *f, uint32_t i)
{
	struct mesh_node *n = &f->nodes[i];
	unsigned port = PORT_FIRST + i * PORTS_PER_NODE + PORT_PEER;
	char bound[JD_ADDR_MAX], peers_proxy[JD_ADDR_MAX];
	struct proxy_opts o[LINK_COUNT] = {
		[LINK_STORE] = {.addr = n->store_proxy,
				.target = f->store_addr},
		[LINK_PEERS] = {.addr = peers_proxy, .target = bound},
		[LINK_UPSTREAM] = {.addr = n->upstream_proxy,
				   .target = n->upstream_addr},
	};

	format_address(bound, true, port);
	format_address(peers_proxy, false, port);
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
	struct timeval tv = {.tv_usec = HOLDER_CHECK_MS * 1000};
	struct kv_server_opts store = {.base = o->base,
				       .copies = STORE_COPIES,
				       .copy_ms = STORE_COPY_MS};

	memset(f, 0, sizeof(*f));
	f->opts = *o;
	format_address(f->store_addr, true, PORT_STORE);
	store.addr = f->store_addr;
	f->store = kv_server_new(&store);
	if (!f->store)
		return false;
	mesh_fleet_configure(f);
	for (uint32_t i = 0; i < o->nodes; i++) {
		init_node(f, i);
		if (!start_proxies(f, i) || !write_settings(&f->nodes[i], i))
			return false;
		mesh_node_start(f, i);
		mesh_upstream_start(f, i);
	}
	f->holder_check =
		event_new(o->base, -1, EV_PERSIST, on_holder_check, f);
	event_add(f->holder_check, &tv);
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
	if (f->holder_check)
		event_free(f->holder_check);
	if (f->store)
		kv_server_delete(f->store);
}
