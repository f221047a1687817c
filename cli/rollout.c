#include "cli/rollout.h"

#include <stdio.h>
#include <time.h>

#include "cli/exit_code.h"
#include "cli/fleet.h"
#include "io/clock.h"

#define POLL_MIN_MS 10
#define POLL_MAX_MS 200
#define PROGRESS_MS 1000

static bool has(const struct fleet_node *n, revision_t revision)
{
	json_t *v = json_object_get(n->page, "manifest_revision");

	return (revision_t)json_integer_value(v) >= revision;
}

static size_t lagging(const struct fleet *f, revision_t revision)
{
	size_t n = 0;

	for (size_t i = 0; i < f->count; i++)
		n += !has(&f->nodes[i], revision);
	return n;
}

/* Names and addresses are checked ones: they need no quoting in JSON. */
static void name_lagging(const struct cli_options *o, const struct fleet *f,
			 revision_t revision)
{
	for (size_t i = 0; i < f->count; i++) {
		const struct fleet_node *n = &f->nodes[i];

		if (has(n, revision))
			continue;
		fprintf(stderr, "lags: %s in %s at %s (%s)\n", n->member->name,
			n->roster->dc, n->member->http_addr,
			n->page ? "older revision" : "no answer");
		if (o->json)
			printf("{\"result\":\"lags\",\"node\":\"%s\","
			       "\"answers\":%s}\n",
			       n->member->name, n->page ? "true" : "false");
	}
}

static void sleep_ms(uint64_t ms)
{
	struct timespec ts = {.tv_sec = (time_t)(ms / 1000),
			      .tv_nsec = (long)(ms % 1000 * 1000000)};

	nanosleep(&ts, NULL);
}

/* Nodes that lag after one more look; the whole fleet when it fails. */
static size_t look(const struct cli_options *o, revision_t revision, bool last,
		   size_t *count)
{
	struct status st;
	struct fleet f;
	size_t n = 1;

	if (fleet_read(&f, o->store, &st) == STATUS_OK) {
		fleet_fetch(&f, "/-/status");
		n = lagging(&f, revision);
		*count = f.count;
		if (last && n)
			name_lagging(o, &f, revision);
	} else if (last) {
		fprintf(stderr, "%s\n", st.msg);
	}
	fleet_done(&f);
	return n;
}

int rollout_wait(const struct cli_options *o, revision_t revision)
{
	const uint64_t start = clock_now_ns();
	const uint64_t deadline = start + o->timeout_ms * NS_PER_MS;
	uint64_t next_progress = start + PROGRESS_MS * NS_PER_MS;
	uint64_t poll_ms = POLL_MIN_MS;
	size_t count = 0;

	for (;;) {
		bool last = clock_now_ns() >= deadline;
		size_t n = look(o, revision, last, &count);
		uint64_t now = clock_now_ns();

		if (!n) {
			printf(o->json ? "{\"result\":\"in_force\",\"nodes\":"
					 "%zu,\"after_ms\":%lu}\n"
				       : "in force on %zu nodes after %lu ms\n",
			       count,
			       (unsigned long)((now - start) / NS_PER_MS));
			return CLI_OK;
		}
		if (last)
			return CLI_TIMED_OUT;
		if (now >= next_progress) {
			fprintf(stderr, "waiting for %zu of %zu nodes\n", n,
				count);
			next_progress = now + PROGRESS_MS * NS_PER_MS;
		}
		sleep_ms(poll_ms);
		if (poll_ms < POLL_MAX_MS)
			poll_ms *= 2;
	}
}
