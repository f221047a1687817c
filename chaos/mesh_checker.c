#include "chaos/mesh_checker.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/mem.h"

struct mesh_checker *mesh_checker_new(void)
{
	struct mesh_checker *p = mem_new(struct mesh_checker);

	for (int i = 0; i < MESH_CHECKER_BUCKETS; i++)
		list_init(&p->requests[i]);
	return p;
}

void mesh_checker_delete(struct mesh_checker *p)
{
	struct checked_request *r, *tmp;

	for (int i = 0; i < MESH_CHECKER_BUCKETS; i++)
		list_for_each_entry_safe(r, tmp, &p->requests[i], link)
			free(r);
	free(p);
}

static struct list *bucket(struct mesh_checker *p, const char *id)
{
	return &p->requests[XXH32(id, strlen(id), 0) % MESH_CHECKER_BUCKETS];
}

static struct checked_request *find(struct mesh_checker *p, const char *id)
{
	struct checked_request *r;

	list_for_each_entry(r, bucket(p, id), link)
		if (!strcmp(r->id, id))
			return r;
	return NULL;
}

static void broken(uint64_t *count, const char *what, const char *id)
{
	(*count)++;
	printf("soak: broken=%s id=%s\n", what, id);
	fflush(stdout);
}

void mesh_checker_sent(struct mesh_checker *p, const char *id, bool idempotent,
		       uint64_t now_ns)
{
	struct checked_request *r = mem_new(struct checked_request);

	mem_copy_str(r->id, id, sizeof(r->id));
	r->idempotent = idempotent;
	r->sent_ns = now_ns;
	list_push_back(bucket(p, id), &r->link);
	p->sent++;
}

static bool is_promise(int code)
{
	return code == 408 || code == 421 || code == 429 || code == 503;
}

void mesh_checker_ended(struct mesh_checker *p, const char *id, int code,
			bool whole, uint64_t now_ns)
{
	struct checked_request *r = find(p, id);

	if (!r || r->end_ns)
		return;
	r->code = code;
	r->end_ns = now_ns;
	if (code == 200 && !whole)
		broken(&p->crossed, "crossed", id);
	p->served += code == 200;
	p->refused += is_promise(code);
	p->unknown += code != 200 && !is_promise(code);
}

void mesh_checker_executed(struct mesh_checker *p, const char *id)
{
	struct checked_request *r = find(p, id);

	if (!r) {
		broken(&p->unasked, "unasked", id);
		return;
	}
	r->runs++;
	if (r->runs > 1 && !r->idempotent)
		broken(&p->doubled, "doubled", id);
}

void mesh_checker_row_acquired(struct mesh_checker *p, const char *instance,
			       uint32_t from, uint32_t to, uint64_t fence)
{
	uint32_t holder = XXH32(instance, strlen(instance), 0);
	bool bad = false;

	for (uint32_t k = from; k <= to; k++) {
		struct key_holder *t = &p->keys[k];

		bad |= t->holder != holder && fence <= t->fence;
		t->holder = holder;
		t->fence = fence;
	}
	if (bad)
		broken(&p->fence_not_above, "fence_not_above", instance);
}

uint64_t mesh_checker_violations(struct mesh_checker *p)
{
	struct checked_request *r;

	for (int i = 0; i < MESH_CHECKER_BUCKETS; i++)
		list_for_each_entry(r, &p->requests[i], link)
			if (!r->idempotent && r->runs && is_promise(r->code))
				broken(&p->false_not_run, "false_not_run",
				       r->id);
	return p->two_holders + p->fence_not_above + p->doubled +
	       p->false_not_run + p->crossed + p->unasked + p->after_leave;
}

uint64_t mesh_checker_unserved(const struct mesh_checker *p, uint64_t from_ns,
			       uint64_t to_ns)
{
	const struct checked_request *r;
	uint64_t n = 0;

	for (int i = 0; i < MESH_CHECKER_BUCKETS; i++)
		list_for_each_entry(r, &p->requests[i], link)
			n += r->sent_ns >= from_ns && r->sent_ns < to_ns &&
			     r->code != 200;
	return n;
}
