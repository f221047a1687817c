#include "cli/rollout.h"

#include <stdio.h>
#include <time.h>

#include "cli/exit_code.h"
#include "cli/fleet.h"
#include "io/clock.h"

#define POLL_INTERVAL_MIN_MS 10
#define POLL_INTERVAL_MAX_MS 200
#define PROGRESS_INTERVAL_MS 1000

static bool has_revision(const struct fleet_member *n, revision_t revision)
{
	json_t *v = json_object_get(n->page, "manifest_revision");

	return (revision_t)json_integer_value(v) >= revision;
}

static size_t count_lagging(const struct fleet *f, revision_t revision)
{
	size_t n = 0;

	for (size_t i = 0; i < f->count; i++)
		n += !has_revision(&f->nodes[i], revision);
	return n;
}

/* A node name is validated and has no character that JSON escapes. */
static void print_lagging(const struct cli_options *o, const struct fleet *f,
			  revision_t revision)
{
	for (size_t i = 0; i < f->count; i++) {
		const struct fleet_member *n = &f->nodes[i];

		if (has_revision(n, revision))
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

/*
 * Reads the fleet once. Returns the number of nodes that lag behind @revision
 * and sets @count to the number of all nodes. If the store can't be read, it
 * returns 1: the rollout isn't known to be complete. With @last it prints the
 * nodes that lag, or the failure.
 */
static size_t poll_nodes(const struct cli_options *o, revision_t revision,
			 bool last, size_t *count)
{
	struct status st;
	struct fleet f;
	size_t n = 1;

	if (fleet_read(&f, o->store, &st) == STATUS_OK) {
		fleet_fetch(&f, "/-/status");
		n = count_lagging(&f, revision);
		*count = f.count;
		if (last && n)
			print_lagging(o, &f, revision);
	} else if (last) {
		fprintf(stderr, "%s\n", st.msg);
	}
	fleet_done(&f);
	return n;
}

int rollout_wait(const struct cli_options *o, revision_t revision)
{
	const uint64_t start_ns = clock_now_ns();
	const uint64_t deadline_ns = start_ns + o->timeout_ms * NS_PER_MS;
	uint64_t next_progress_ns = start_ns + PROGRESS_INTERVAL_MS * NS_PER_MS;
	uint64_t interval_ms = POLL_INTERVAL_MIN_MS;
	size_t count = 0;

	for (;;) {
		bool last = clock_now_ns() >= deadline_ns;
		size_t n = poll_nodes(o, revision, last, &count);
		uint64_t now_ns = clock_now_ns();

		if (!n) {
			printf(o->json ? "{\"result\":\"in_force\",\"nodes\":"
					 "%zu,\"after_ms\":%lu}\n"
				       : "in force on %zu nodes after %lu ms\n",
			       count,
			       (unsigned long)((now_ns - start_ns) /
					       NS_PER_MS));
			return CLI_OK;
		}
		if (last)
			return CLI_TIMED_OUT;
		if (now_ns >= next_progress_ns) {
			fprintf(stderr, "waiting for %zu of %zu nodes\n", n,
				count);
			next_progress_ns =
				now_ns + PROGRESS_INTERVAL_MS * NS_PER_MS;
		}
		sleep_ms(interval_ms);
		if (interval_ms < POLL_INTERVAL_MAX_MS)
			interval_ms *= 2;
	}
}
