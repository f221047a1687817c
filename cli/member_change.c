#include "cli/member_change.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "cli/exit_code.h"
#include "cli/fleet.h"
#include "cli/store_call.h"
#include "core/mem.h"
#include "io/clock.h"

#define WRITE_ATTEMPTS_MAX 20
#define RETRY_DELAY_MS	   50
#define POLL_INTERVAL_MS   200
#define ANSWER_TIMEOUT_MS  1000
/* Longer than the default lease_ms of 1200. */
#define LEASE_WAIT_MS	   3000

enum member_change {
	MEMBER_CHANGE_LEAVE,
	MEMBER_CHANGE_REVOKE,
	MEMBER_CHANGE_REMOVE
};

/*
 * The node whose entry changes. Its incarnation is never used again, so a
 * restarted node of the same name is not mistaken for it.
 */
struct target {
	char name[JD_NAME_MAX];
	char dc[JD_NAME_MAX];
	char http_addr[JD_ADDR_MAX];
	incarnation_t inc;
};

static void sleep_ms(long ms)
{
	struct timespec ts = {.tv_sec = ms / 1000,
			      .tv_nsec = ms % 1000 * 1000000};

	nanosleep(&ts, NULL);
}

static int find_target(const struct cli_options *o, struct target *t)
{
	const struct fleet_member *n;
	struct status st;
	struct fleet f;
	int code = CLI_FAILED;

	if (fleet_read(&f, o->store, &st) != STATUS_OK) {
		fprintf(stderr, "%s\n", st.msg);
	} else if (!(n = fleet_find(&f, o->args[0]))) {
		fprintf(stderr, "no node %s\n", o->args[0]);
		code = CLI_NOT_FOUND;
	} else {
		mem_copy_str(t->name, n->member->name, sizeof(t->name));
		mem_copy_str(t->dc, n->roster->dc, sizeof(t->dc));
		mem_copy_str(t->http_addr, n->member->http_addr,
			     sizeof(t->http_addr));
		t->inc = n->member->inc;
		code = CLI_OK;
	}
	fleet_done(&f);
	return code;
}

/* Changes the entry of @inc in @d; false if there is nothing to change. */
static bool change_member(struct doc *d, incarnation_t inc,
			  enum member_change change)
{
	struct member *m = d->u.roster ? roster_find(d->u.roster, inc) : NULL;

	if (!m)
		return false;
	switch (change) {
	case MEMBER_CHANGE_LEAVE:
		if (m->state != MEMBER_UP)
			return false;
		m->state = MEMBER_LEAVING;
		return true;
	case MEMBER_CHANGE_REVOKE:
		if (m->state == MEMBER_REVOKED)
			return false;
		m->state = MEMBER_REVOKED;
		return true;
	case MEMBER_CHANGE_REMOVE:
		roster_remove(d->u.roster, m);
		return true;
	}
	return false;
}

/* Every change is idempotent, so a write without an answer is retried. */
static int write_member_change(const struct cli_options *o,
			       const struct target *t,
			       enum member_change change)
{
	struct doc_key key = {.kind = DOC_ROSTER};
	struct status st;

	mem_copy_str(key.name, t->dc, sizeof(key.name));
	for (int i = 0; i < WRITE_ATTEMPTS_MAX; i++) {
		struct doc *d = store_call_get(o->store, &key, &st);
		bool done = d && !change_member(d, t->inc, change);

		if (d && !done)
			done = store_call_cas(o->store, d, &st) == STATUS_OK;
		doc_delete(d);
		if (done)
			return CLI_OK;
		sleep_ms(RETRY_DELAY_MS);
	}
	fprintf(stderr, "%s: not written: %s\n", t->name, st.msg);
	return st.code == STATUS_CONFLICT ? CLI_CONFLICT : CLI_UNKNOWN;
}

static bool has_left(const struct cli_options *o, const struct target *t)
{
	struct doc_key key = {.kind = DOC_ROSTER};
	struct status st;
	struct doc *d;
	bool gone;

	mem_copy_str(key.name, t->dc, sizeof(key.name));
	d = store_call_get(o->store, &key, &st);
	gone = d && (!d->u.roster || !roster_find(d->u.roster, t->inc));
	doc_delete(d);
	return gone;
}

static int wait_until_left(const struct cli_options *o, const struct target *t)
{
	uint64_t start = clock_now_ns();

	while (clock_now_ns() < start + o->timeout_ms * NS_PER_MS) {
		if (has_left(o, t)) {
			printf("%s has left after %lu ms\n", t->name,
			       (unsigned long)((clock_now_ns() - start) /
					       NS_PER_MS));
			return CLI_OK;
		}
		sleep_ms(POLL_INTERVAL_MS);
	}
	fprintf(stderr, "%s has not left yet\n", t->name);
	return CLI_TIMED_OUT;
}

int drain_run(const struct cli_options *o)
{
	struct target t;
	int code = find_target(o, &t);

	if (code == CLI_OK)
		code = write_member_change(o, &t, MEMBER_CHANGE_LEAVE);
	if (code != CLI_OK)
		return code;
	printf("%s drains\n", t.name);
	return o->wait ? wait_until_left(o, &t) : CLI_OK;
}

/* A node that answers is not lost, even if the operator confirms that it is. */
static bool answers(const struct target *t)
{
	struct status st;
	char *text = http_call(t->http_addr, "/-/status", NULL,
			       ANSWER_TIMEOUT_MS, &st);
	bool alive = text != NULL;

	free(text);
	return alive;
}

int confirm_lost_run(const struct cli_options *o)
{
	struct target t;
	int code = find_target(o, &t);

	if (code != CLI_OK)
		return code;
	if (answers(&t)) {
		fprintf(stderr, "%s answers at %s: drain it instead\n", t.name,
			t.http_addr);
		return CLI_FAILED;
	}
	code = write_member_change(o, &t, MEMBER_CHANGE_REVOKE);
	if (code != CLI_OK)
		return code;
	fprintf(stderr, "%s is revoked; waiting for its lease to end\n",
		t.name);
	sleep_ms(LEASE_WAIT_MS);
	code = write_member_change(o, &t, MEMBER_CHANGE_REMOVE);
	if (code == CLI_OK)
		printf("%s is removed from its roster\n", t.name);
	return code;
}
