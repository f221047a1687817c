#include "io/manifest_diff.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "core/text.h"
#include "io/manifest_fields.h"

/* Takes ownership of @what, @from and @to; NULL is stored as "". */
static void add_change(struct list *out, enum change_kind kind, char *what,
		       char *from, char *to)
{
	struct change *c = mem_new(struct change);

	c->kind = kind;
	c->what = what;
	c->from = from ? from : text_new("%s", "");
	c->to = to ? to : text_new("%s", "");
	list_push_back(out, &c->link);
}

void changes_delete(struct list *changes)
{
	struct change *c, *tmp;

	list_for_each_entry_safe(c, tmp, changes, link) {
		list_remove(&c->link);
		free(c->what);
		free(c->from);
		free(c->to);
		free(c);
	}
}

/* The value of the field "name" in @obj, a struct of the section @s. */
static const char *object_name(enum manifest_section s, const void *obj)
{
	const struct field *fd = field_find(&manifest_sections[s], "name");

	return (const char *)obj + fd->offset;
}

static int diff_fields(enum manifest_section s, const void *from,
		       const void *to, struct list *out)
{
	const struct field_table *ft = &manifest_sections[s];
	int n = 0;

	for (size_t i = 0; i < ft->count; i++) {
		char *a = field_text(&ft->fields[i], from);
		char *b = field_text(&ft->fields[i], to);

		if (strcmp(a, b) != 0) {
			add_change(out, CHANGE_FIELD,
				   text_new("%s %s.%s", ft->name,
					    object_name(s, to),
					    ft->fields[i].name),
				   a, b);
			n++;
			continue;
		}
		free(a);
		free(b);
	}
	return n;
}

/* Appends the changes of one section to @out and returns their number. */
static int diff_section(enum manifest_section s, const struct manifest *from,
			const struct manifest *to, struct list *out)
{
	const char *section = manifest_sections[s].name;
	const void *object = NULL;
	int n = 0;

	while ((object = manifest_next(to, s, object))) {
		const char *name = object_name(s, object);
		const void *old = from ? manifest_find(from, s, name) : NULL;

		if (old) {
			n += diff_fields(s, old, object, out);
			continue;
		}
		add_change(out, CHANGE_ADDED, text_new("%s %s", section, name),
			   NULL, NULL);
		n++;
	}
	object = NULL;
	while (from && (object = manifest_next(from, s, object))) {
		const char *name = object_name(s, object);

		if (manifest_find(to, s, name))
			continue;
		add_change(out, CHANGE_REMOVED,
			   text_new("%s %s", section, name), NULL, NULL);
		n++;
	}
	return n;
}

int manifest_diff(const struct manifest *from, const struct manifest *to,
		  struct list *out)
{
	int n = 0;

	for (int s = 0; s < SECTION_COUNT; s++)
		n += diff_section((enum manifest_section)s, from, to, out);
	return n;
}

char *change_line(const struct change *c)
{
	switch (c->kind) {
	case CHANGE_ADDED:
		return text_new("+ %s", c->what);
	case CHANGE_REMOVED:
		return text_new("- %s", c->what);
	case CHANGE_FIELD:
		break;
	}
	return text_new("~ %s: %s -> %s", c->what, c->from, c->to);
}
