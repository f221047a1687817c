#include "chaos/mesh_checker.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/mem.h"

struct mesh_checker *mesh_checker_new(void)
{
	struct mesh_checker *c = mem_new(struct mesh_checker);

	for (int i = 0; i < MESH_CHECKER_BUCKETS; i++)
		list_init(&c->requests[i]);
	return c;
}

void mesh_checker_delete(struct mesh_checker *c)
{
	struct tracked_request *r, *tmp;

	for (int i = 0; i < MESH_CHECKER_BUCKETS; i++)
		list_for_each_entry_safe(r, tmp, &c->requests[i], link)
			free(r);
	free(c);
}

static struct list *bucket(struct mesh_checker *c, const char *id)
{
	return &c->requests[XXH32(id, strlen(id), 0) % MESH_CHECKER_BUCKETS];
}

static struct tracked_request *find(struct mesh_checker *c, const char *id)
{
	struct tracked_request *r;

	list_for_each_entry(r, bucket(c, id), link)
		if (!strcmp(r->id, id))
			return r;
	return NULL;
}

static void report_violation(uint64_t *count, const char *name, const char *id)
{
	(*count)++;
	printf("soak: broken=%s id=%s\n", name, id);
	fflush(stdout);
}

void mesh_checker_sent(struct mesh_checker *c, const char *id, bool idempotent,
		       uint64_t now_ns)
{
	struct tracked_request *r = mem_new(struct tracked_request);

	mem_copy_str(r->id, id, sizeof(r->id));
	r->idempotent = idempotent;
	r->sent_ns = now_ns;
	list_push_back(bucket(c, id), &r->link);
	c->sent++;
}

static bool means_not_run(int code)
{
	return code == 408 || code == 421 || code == 429 || code == 503;
}

/* All tracked requests are proper, and the upstreams give no such status. */
static bool means_denied(int code)
{
	return code >= 300 && code <= 499 && !means_not_run(code);
}

void mesh_checker_ended(struct mesh_checker *c, const char *id, int code,
			bool valid, uint64_t now_ns)
{
	struct tracked_request *r = find(c, id);

	if (!r || r->end_ns)
		return;
	r->code = code;
	r->end_ns = now_ns;
	if (code == 200 && !valid)
		report_violation(&c->crossed, "crossed", id);
	if (means_denied(code))
		report_violation(&c->denied, "denied", id);
	c->served += code == 200;
	c->refused += means_not_run(code);
	c->unknown += code != 200 && !means_not_run(code);
}

void mesh_checker_executed(struct mesh_checker *c, const char *id)
{
	struct tracked_request *r = find(c, id);

	if (!r) {
		report_violation(&c->unasked, "unasked", id);
		return;
	}
	r->runs++;
	if (r->runs > 1 && !r->idempotent)
		report_violation(&c->doubled, "doubled", id);
}

void mesh_checker_row_acquired(struct mesh_checker *c, const char *instance,
			       uint32_t from, uint32_t to, uint64_t fence)
{
	uint32_t holder = XXH32(instance, strlen(instance), 0);
	bool violation = false;

	for (uint32_t k = from; k <= to; k++) {
		struct key_holder *h = &c->keys[k];

		violation |= h->holder != holder && fence <= h->fence;
		h->holder = holder;
		h->fence = fence;
	}
	if (violation)
		report_violation(&c->fence_not_above, "fence_not_above",
				 instance);
}

uint64_t mesh_checker_violations(struct mesh_checker *c)
{
	struct tracked_request *r;

	for (int i = 0; i < MESH_CHECKER_BUCKETS; i++)
		list_for_each_entry(r, &c->requests[i], link)
			if (!r->idempotent && r->runs && means_not_run(r->code))
				report_violation(&c->false_not_run,
						 "false_not_run", r->id);
	return c->two_holders + c->fence_not_above + c->doubled +
	       c->false_not_run + c->crossed + c->denied + c->unasked +
	       c->after_leave + c->config_back + c->died;
}

uint64_t mesh_checker_unserved(const struct mesh_checker *c, uint64_t from_ns,
			       uint64_t to_ns)
{
	const struct tracked_request *r;
	uint64_t n = 0;

	for (int i = 0; i < MESH_CHECKER_BUCKETS; i++)
		list_for_each_entry(r, &c->requests[i], link)
			n += r->sent_ns >= from_ns && r->sent_ns < to_ns &&
			     r->code != 200;
	return n;
}
