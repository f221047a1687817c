#include "core/roster.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"

struct roster *roster_new(const char *dc, const char *region)
{
	struct roster *r = mem_new(struct roster);

	mem_copy_str(r->dc, dc, sizeof(r->dc));
	mem_copy_str(r->region, region, sizeof(r->region));
	list_init(&r->members);
	return r;
}

void roster_delete(struct roster *r)
{
	struct member *m, *tmp;

	if (!r)
		return;
	list_for_each_entry_safe(m, tmp, &r->members, link)
		roster_remove(r, m);
	free(r);
}

struct member *roster_find(const struct roster *r, incarnation_t inc)
{
	struct member *m;

	list_for_each_entry(m, &r->members, link)
		if (m->inc == inc)
			return m;
	return NULL;
}

struct member *roster_find_name(const struct roster *r, const char *name)
{
	struct member *m;

	list_for_each_entry(m, &r->members, link)
		if (!strcmp(m->name, name))
			return m;
	return NULL;
}

struct member *roster_add(struct roster *r, const char *name, incarnation_t inc)
{
	struct member *m = mem_new(struct member);

	mem_copy_str(m->name, name, sizeof(m->name));
	m->inc = inc;
	m->roster = r;
	list_init(&m->index_link);
	list_push_back(&r->members, &m->link);
	return m;
}

void roster_remove(struct roster *r, struct member *m)
{
	(void)r;
	list_remove(&m->link);
	list_remove(&m->index_link);
	free(m);
}

void member_set(struct member *m, const struct member *from)
{
	struct member old = *m;

	*m = *from;
	m->link = old.link;
	m->index_link = old.index_link;
	m->roster = old.roster;
}

struct roster *roster_copy(const struct roster *r)
{
	struct roster *c = roster_new(r->dc, r->region);
	const struct member *m;

	list_for_each_entry(m, &r->members, link)
		member_set(roster_add(c, m->name, m->inc), m);
	return c;
}
