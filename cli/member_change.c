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

#define TRIES_MAX     20
#define RETRY_MS      50
#define POLL_MS	      200
#define PROBE_MS      1000
#define LEASE_WAIT_MS 3000

enum change { CHANGE_LEAVE, CHANGE_REVOKE, CHANGE_REMOVE };

/* The node whose entry is to change; an incarnation never comes back. */
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
	const struct fleet_node *n;
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

/* False when the entry already is as wanted. */
static bool change_entry(struct doc *d, incarnation_t inc, enum change change)
{
	struct member *m = d->u.roster ? roster_find(d->u.roster, inc) : NULL;

	if (!m)
		return false;
	switch (change) {
	case CHANGE_LEAVE:
		if (m->state != MEMBER_UP)
			return false;
		m->state = MEMBER_LEAVING;
		return true;
	case CHANGE_REVOKE:
		if (m->state == MEMBER_REVOKED)
			return false;
		m->state = MEMBER_REVOKED;
		return true;
	case CHANGE_REMOVE:
		roster_remove(d->u.roster, m);
		return true;
	}
	return false;
}

/* Each change holds when made twice, so a lost answer is tried again. */
static int write_change(const struct cli_options *o, const struct target *t,
			enum change change)
{
	struct doc_key key = {.kind = DOC_ROSTER};
	struct status st;

	mem_copy_str(key.name, t->dc, sizeof(key.name));
	for (int i = 0; i < TRIES_MAX; i++) {
		struct doc *d = store_call_get(o->store, &key, &st);
		bool done = d && !change_entry(d, t->inc, change);

		if (d && !done)
			done = store_call_cas(o->store, d, &st) == STATUS_OK;
		doc_delete(d);
		if (done)
			return CLI_OK;
		sleep_ms(RETRY_MS);
	}
	fprintf(stderr, "%s: not written: %s\n", t->name, st.msg);
	return st.code == STATUS_CONFLICT ? CLI_CONFLICT : CLI_UNKNOWN;
}

static bool is_gone(const struct cli_options *o, const struct target *t)
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

static int wait_gone(const struct cli_options *o, const struct target *t)
{
	uint64_t start = clock_now_ns();

	while (clock_now_ns() < start + o->timeout_ms * NS_PER_MS) {
		if (is_gone(o, t)) {
			printf("%s has left after %lu ms\n", t->name,
			       (unsigned long)((clock_now_ns() - start) /
					       NS_PER_MS));
			return CLI_OK;
		}
		sleep_ms(POLL_MS);
	}
	fprintf(stderr, "%s has not left yet\n", t->name);
	return CLI_TIMED_OUT;
}

int drain_run(const struct cli_options *o)
{
	struct target t;
	int code = find_target(o, &t);

	if (code == CLI_OK)
		code = write_change(o, &t, CHANGE_LEAVE);
	if (code != CLI_OK)
		return code;
	printf("%s drains\n", t.name);
	return o->wait ? wait_gone(o, &t) : CLI_OK;
}

/* A node that answers has not ended, whatever the operator thinks. */
static bool answers(const struct target *t)
{
	struct status st;
	char *text = http_call(t->http_addr, "/-/status", NULL, PROBE_MS, &st);
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
	code = write_change(o, &t, CHANGE_REVOKE);
	if (code != CLI_OK)
		return code;
	fprintf(stderr, "%s is revoked; its lease runs out\n", t.name);
	sleep_ms(LEASE_WAIT_MS);
	code = write_change(o, &t, CHANGE_REMOVE);
	if (code == CLI_OK)
		printf("%s is out of its roster\n", t.name);
	return code;
}
