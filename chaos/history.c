#include "chaos/history.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "core/text.h"

#define LINE_MAX_BYTES 512

/** A request that an upstream started; one line of the record. */
struct started {
	uint64_t time_ns;
	uint64_t op_id;
	uint32_t key;
	uint64_t epoch;
};

struct record {
	struct started *items;
	size_t count;
	size_t cap;
};

static void record_add(struct record *r, const struct started *s)
{
	if (r->count == r->cap) {
		r->cap = r->cap ? r->cap * 2 : 1024;
		r->items = mem_realloc(r->items, r->cap, sizeof(*r->items));
	}
	r->items[r->count++] = *s;
}

static bool parse_line(const char *line, struct started *s)
{
	const char *fence = strstr(line, "fence=");
	const char *key = strstr(line, "/key-");
	const char *op = strstr(line, "/op-");
	const char *slash;

	if (strncmp(line, "time_ns=", 8) != 0 || !strstr(line, "what=start ") ||
	    !fence || !key || !op)
		return false;
	s->time_ns = strtoull(line + 8, NULL, 10);
	s->key = (uint32_t)strtoul(key + 5, NULL, 10);
	s->op_id = strtoull(op + 4, NULL, 10);
	/* fence=ROUTE/SHARD/EPOCH */
	slash = strchr(fence, '/');
	slash = slash ? strchr(slash + 1, '/') : NULL;
	s->epoch = slash ? strtoull(slash + 1, NULL, 10) : 0;
	return true;
}

static bool record_read(struct record *r, const char *path)
{
	FILE *f = fopen(path, "r");
	char line[LINE_MAX_BYTES];
	struct started s;

	if (!f)
		return false;
	while (fgets(line, sizeof(line), f))
		if (parse_line(line, &s))
			record_add(r, &s);
	fclose(f);
	return true;
}

static int started_cmp(const void *a, const void *b)
{
	const struct started *x = a;
	const struct started *y = b;

	if (x->key != y->key)
		return x->key < y->key ? -1 : 1;
	return (x->time_ns > y->time_ns) - (x->time_ns < y->time_ns);
}

/* Counts starts under a lower epoch than an earlier start of the same key. */
static void check_epochs(struct record *r, struct history_verdict *v)
{
	uint64_t highest = 0;

	qsort(r->items, r->count, sizeof(*r->items), started_cmp);
	for (size_t i = 0; i < r->count; i++) {
		const struct started *s = &r->items[i];

		if (!i || r->items[i - 1].key != s->key)
			highest = 0;
		if (s->epoch >= highest) {
			highest = s->epoch;
			continue;
		}
		v->overlap++;
		fprintf(stderr,
			"chaos: overlap key=%u op=%lu epoch=%lu after=%lu "
			"time_ns=%lu\n",
			s->key, (unsigned long)s->op_id,
			(unsigned long)s->epoch, (unsigned long)highest,
			(unsigned long)s->time_ns);
	}
}

static void check_op(const struct op *op, uint32_t starts,
		     struct history_verdict *v)
{
	v->ops++;
	if (!op->idempotent && starts > 1) {
		v->doubled++;
		fprintf(stderr, "chaos: doubled op=%lu starts=%u\n",
			(unsigned long)op->id, starts);
	}
	if (op->outcome == OP_NOT_RUN && starts) {
		v->false_not_run++;
		fprintf(stderr, "chaos: false_not_run op=%lu idempotent=%d\n",
			(unsigned long)op->id, op->idempotent);
	}
	if (op->outcome == OP_DONE && (op->crossed || !starts)) {
		v->crossed++;
		fprintf(stderr, "chaos: crossed op=%lu starts=%u\n",
			(unsigned long)op->id, starts);
	}
}

bool history_check(const struct load *l, const char *path,
		   struct history_verdict *v)
{
	struct record r = {0};
	uint32_t *starts = mem_zalloc(l->count + 1, sizeof(*starts));
	const struct op *op;
	bool ok = record_read(&r, path);

	for (size_t i = 0; i < r.count; i++)
		if (r.items[i].op_id <= l->count)
			starts[r.items[i].op_id]++;
	if (r.count)
		check_epochs(&r, v);
	list_for_each_entry(op, &l->ops, link)
		check_op(op, starts[op->id], v);
	free(starts);
	free(r.items);
	return ok;
}

uint64_t history_last_start_ns(const char *path, const char *addr)
{
	FILE *f = fopen(path, "r");
	char line[LINE_MAX_BYTES], field[LINE_MAX_BYTES / 4];
	uint64_t last = 0;
	struct started s;

	if (!f)
		return 0;
	text_format(field, sizeof(field), " upstream=%s ", addr);
	while (fgets(line, sizeof(line), f))
		if (strstr(line, field) && parse_line(line, &s) &&
		    s.time_ns > last)
			last = s.time_ns;
	fclose(f);
	return last;
}
