#include "chaos/promises.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/mem.h"

struct promises *promises_new(void)
{
	struct promises *p = mem_new(struct promises);

	for (int i = 0; i < PROMISES_BUCKETS; i++)
		list_init(&p->requests[i]);
	return p;
}

void promises_delete(struct promises *p)
{
	struct promised *r, *tmp;

	for (int i = 0; i < PROMISES_BUCKETS; i++)
		list_for_each_entry_safe(r, tmp, &p->requests[i], link)
			free(r);
	free(p);
}

static struct list *bucket(struct promises *p, const char *id)
{
	return &p->requests[XXH32(id, strlen(id), 0) % PROMISES_BUCKETS];
}

static struct promised *find(struct promises *p, const char *id)
{
	struct promised *r;

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

void promises_sent(struct promises *p, const char *id, bool idempotent,
		   uint64_t now_ns)
{
	struct promised *r = mem_new(struct promised);

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

void promises_ended(struct promises *p, const char *id, int code, bool whole,
		    uint64_t now_ns)
{
	struct promised *r = find(p, id);

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

void promises_ran(struct promises *p, const char *id)
{
	struct promised *r = find(p, id);

	if (!r) {
		broken(&p->unasked, "unasked", id);
		return;
	}
	r->runs++;
	if (r->runs > 1 && !r->idempotent)
		broken(&p->doubled, "doubled", id);
}

void promises_row(struct promises *p, const char *instance, uint32_t from,
		  uint32_t to, uint64_t fence)
{
	uint32_t holder = XXH32(instance, strlen(instance), 0);
	bool bad = false;

	for (uint32_t k = from; k <= to; k++) {
		struct key_taken *t = &p->keys[k];

		bad |= t->holder != holder && fence <= t->fence;
		t->holder = holder;
		t->fence = fence;
	}
	if (bad)
		broken(&p->fence_not_above, "fence_not_above", instance);
}

uint64_t promises_broken(struct promises *p)
{
	struct promised *r;

	for (int i = 0; i < PROMISES_BUCKETS; i++)
		list_for_each_entry(r, &p->requests[i], link)
			if (!r->idempotent && r->runs && is_promise(r->code))
				broken(&p->false_not_run, "false_not_run",
				       r->id);
	return p->two_holders + p->fence_not_above + p->doubled +
	       p->false_not_run + p->crossed + p->unasked + p->after_leave;
}

uint64_t promises_unserved(const struct promises *p, uint64_t from_ns,
			   uint64_t to_ns)
{
	const struct promised *r;
	uint64_t n = 0;

	for (int i = 0; i < PROMISES_BUCKETS; i++)
		list_for_each_entry(r, &p->requests[i], link)
			n += r->sent_ns >= from_ns && r->sent_ns < to_ns &&
			     r->code != 200;
	return n;
}
