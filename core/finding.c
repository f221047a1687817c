#include "core/finding.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "core/text.h"

static char *copy_or_empty(const char *s)
{
	return mem_dup(s ? s : "", s ? strlen(s) : 0);
}

void findings_init(struct findings *f)
{
	list_init(&f->items);
	f->count = 0;
}

void findings_done(struct findings *f)
{
	struct finding *it, *tmp;

	list_for_each_entry_safe(it, tmp, &f->items, link) {
		list_remove(&it->link);
		free(it->file);
		free(it->field);
		free(it->expected);
		free(it->found);
		free(it);
	}
	f->count = 0;
}

void findings_add(struct findings *f, const struct finding_opts *o)
{
	struct finding *it = mem_new(struct finding);

	it->file = copy_or_empty(o->file);
	it->line = o->line;
	it->column = o->column;
	it->field = copy_or_empty(o->field);
	it->expected = copy_or_empty(o->expected);
	it->found = copy_or_empty(o->found);
	list_push_back(&f->items, &it->link);
	f->count++;
}

static int finding_cmp(const struct finding *a, const struct finding *b)
{
	int c = strcmp(a->file, b->file);

	if (c)
		return c;
	if (a->line != b->line)
		return a->line < b->line ? -1 : 1;
	if (a->column != b->column)
		return a->column < b->column ? -1 : 1;
	return 0;
}

void findings_sort(struct findings *f)
{
	struct list sorted;
	struct finding *it, *tmp;

	list_init(&sorted);
	list_for_each_entry_safe(it, tmp, &f->items, link) {
		struct list *pos = &sorted;

		list_remove(&it->link);
		while (pos->prev != &sorted &&
		       finding_cmp(list_entry(pos->prev, struct finding, link),
				   it) > 0)
			pos = pos->prev;
		list_insert_before(pos, &it->link);
	}
	list_splice_back(&f->items, &sorted);
}

char *finding_line(const struct finding *f)
{
	if (!f->line)
		return text_new("%s: %s: expected %s, found %s", f->file,
				f->field, f->expected, f->found);
	return text_new("%s:%d:%d: %s: expected %s, found %s", f->file, f->line,
			f->column, f->field, f->expected, f->found);
}
