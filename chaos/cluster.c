#include "chaos/cluster.h"

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "cli/http_call.h"
#include "core/mem.h"
#include "core/text.h"

#define PORTS_PER_NODE 10
#define APPLY_ATTEMPTS 50
#define APPLY_RETRY_MS 100

static void sleep_ms(unsigned ms)
{
	usleep(ms * 1000);
}

static pid_t spawn(const struct cluster *c, const char *log,
		   const char *program, const char *const *args)
{
	char path[CLUSTER_PATH_MAX], log_path[CLUSTER_PATH_MAX];
	pid_t parent = getpid();
	pid_t pid = fork();
	int fd;

	if (pid)
		return pid > 0 ? pid : 0;
	/* No signal comes if the parent ended before prctl(). */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (getppid() != parent)
		_exit(127);
	text_format(path, sizeof(path), "%s/%s", c->opts.bin, program);
	text_format(log_path, sizeof(log_path), "%s/%s.log", c->opts.dir, log);
	fd = open(log_path, O_WRONLY | O_CREAT | O_APPEND, 0644);
	if (fd >= 0) {
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
	}
	execv(path, (char *const *)args);
	_exit(127);
}

static void reap(pid_t *pid)
{
	if (*pid)
		waitpid(*pid, NULL, 0);
	*pid = 0;
}

static void kill_and_reap(pid_t *pid)
{
	if (*pid)
		kill(*pid, SIGKILL);
	reap(pid);
}

/*
 * A loopback address derived from the process id, so that clusters of
 * concurrent processes do not collide.
 */
static void format_address(char *addr, unsigned port)
{
	unsigned pid = (unsigned)getpid();

	text_format(addr, JD_ADDR_MAX, "127.%u.%u.%u:%u", 1 + (pid >> 16) % 200,
		    pid >> 8 & 255, pid & 255, port);
}

static void init_node(struct cluster *c, uint32_t i)
{
	struct cluster_node *n = &c->nodes[i];
	unsigned port = c->opts.port + (i + 1) * PORTS_PER_NODE;

	text_format(n->name, sizeof(n->name), "n%u", i);
	text_format(n->dc, sizeof(n->dc), "dc-%u", i % c->opts.dcs);
	format_address(n->http_addr, port);
	format_address(n->peer_addr, port + 1);
	format_address(n->upstream_addr, port + 2);
}

static bool write_settings(const struct cluster *c, uint32_t i,
			   const char *path)
{
	const struct cluster_node *n = &c->nodes[i];
	FILE *f = fopen(path, "w");

	if (!f)
		return false;
	fprintf(f,
		"store_outage_grace_ms = %u\nname = \"%s\"\ndata_centre = "
		"\"%s\"\nregion = \"south\"\n"
		"http_addr = \"%s\"\npeer_addr = \"%s\"\nstore_addr = \"%s\"\n",
		c->opts.grace_ms, n->name, n->dc, n->http_addr, n->peer_addr,
		c->store_addr);
	return fclose(f) == 0;
}

static void start_upstream(struct cluster *c, uint32_t i)
{
	struct cluster_node *n = &c->nodes[i];
	char record[CLUSTER_PATH_MAX], work[16], log[JD_NAME_MAX + 4];
	const char *args[] = {"fake-upstream",
			      "--addr",
			      n->upstream_addr,
			      "--node",
			      n->http_addr,
			      "--service",
			      c->opts.service,
			      "--work-ms",
			      work,
			      "--record",
			      record,
			      NULL,
			      NULL};

	text_format(record, sizeof(record), "%s/record", c->opts.dir);
	text_format(work, sizeof(work), "%u", c->opts.work_ms);
	text_format(log, sizeof(log), "u-%s", n->name);
	if (c->opts.checks_grants)
		args[11] = "--checks-grants";
	n->upstream = spawn(c, log, args[0], args);
}

void cluster_node_start(struct cluster *c, uint32_t i)
{
	struct cluster_node *n = &c->nodes[i];
	char path[CLUSTER_PATH_MAX];
	const char *args[] = {"jackdawd", "-s", path, NULL};

	text_format(path, sizeof(path), "%s/%s.toml", c->opts.dir, n->name);
	if (!n->node && write_settings(c, i, path))
		n->node = spawn(c, n->name, args[0], args);
	if (!n->upstream)
		start_upstream(c, i);
}

void cluster_node_kill(struct cluster *c, uint32_t i)
{
	kill_and_reap(&c->nodes[i].node);
	kill_and_reap(&c->nodes[i].upstream);
	c->nodes[i].frozen = false;
	c->nodes[i].stopping = false;
}

void cluster_node_term(struct cluster *c, uint32_t i)
{
	struct cluster_node *n = &c->nodes[i];

	if (!n->node)
		return;
	kill(n->node, SIGTERM);
	n->stopping = true;
}

bool cluster_node_stop_finished(struct cluster *c, uint32_t i)
{
	struct cluster_node *n = &c->nodes[i];

	if (!n->stopping)
		return true;
	if (n->node && waitpid(n->node, NULL, WNOHANG) != n->node)
		return false;
	n->node = 0;
	n->stopping = false;
	kill_and_reap(&n->upstream);
	return true;
}

void cluster_node_freeze(struct cluster *c, uint32_t i, bool vm)
{
	struct cluster_node *n = &c->nodes[i];

	if (n->node)
		kill(n->node, SIGSTOP);
	if (vm && n->upstream)
		kill(n->upstream, SIGSTOP);
	n->frozen = true;
}

void cluster_node_thaw(struct cluster *c, uint32_t i)
{
	struct cluster_node *n = &c->nodes[i];

	if (n->upstream)
		kill(n->upstream, SIGCONT);
	if (n->node)
		kill(n->node, SIGCONT);
	n->frozen = false;
}

bool cluster_node_ready(const struct cluster *c, uint32_t i)
{
	struct status st;
	char *text =
		http_call(c->nodes[i].http_addr, "/-/status", NULL, 500, &st);
	bool ready = text && strstr(text, "\"may_serve\":true") &&
		     !strstr(text, "\"shards\":0,");

	free(text);
	return ready;
}

void cluster_store_fault(const struct cluster *c, const char *json)
{
	struct status st;

	free(http_call(c->store_addr, "/admin/fault", json, 1000, &st));
}

bool cluster_apply(struct cluster *c, const char *manifest)
{
	const char *args[] = {"jackdaw", "--store", c->store_addr,
			      "apply",	 manifest,  NULL};
	int status = -1;

	for (int i = 0; i < APPLY_ATTEMPTS && status; i++) {
		pid_t pid = spawn(c, "apply", args[0], args);

		if (waitpid(pid, &status, 0) != pid)
			status = -1;
		if (status)
			sleep_ms(APPLY_RETRY_MS);
	}
	return status == 0;
}

bool cluster_start(struct cluster *c, const struct cluster_opts *o)
{
	const char *args[] = {"fake-store", "--addr", c->store_addr, NULL};

	memset(c, 0, sizeof(*c));
	c->opts = *o;
	format_address(c->store_addr, o->port);
	c->store = spawn(c, "store", args[0], args);
	if (!cluster_apply(c, c->opts.manifest))
		return false;
	for (uint32_t i = 0; i < o->nodes; i++) {
		init_node(c, i);
		cluster_node_start(c, i);
	}
	return true;
}

void cluster_stop(struct cluster *c)
{
	for (uint32_t i = 0; i < c->opts.nodes; i++)
		cluster_node_kill(c, i);
	kill_and_reap(&c->store);
}
