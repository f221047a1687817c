#include "cli/fleet.h"

#include <stdlib.h>
#include <string.h>

#include "cli/store_call.h"
#include "core/mem.h"

#define FETCH_TIMEOUT_MS 2000

static void add_roster(struct fleet *f, const struct roster *r)
{
	const struct member *m;

	list_for_each_entry(m, &r->members, link) {
		f->nodes =
			mem_realloc(f->nodes, f->count + 1, sizeof(*f->nodes));
		f->nodes[f->count++] =
			(struct fleet_member){.roster = r, .member = m};
	}
}

static int compare_nodes(const void *a, const void *b)
{
	const struct fleet_member *x = a;
	const struct fleet_member *y = b;
	int order = strcmp(x->roster->dc, y->roster->dc);

	return order ? order : strcmp(x->member->name, y->member->name);
}

enum status_code fleet_read(struct fleet *f, const char *store,
			    struct status *st)
{
	const struct doc *d = NULL;

	memset(f, 0, sizeof(*f));
	view_init(&f->view);
	if (store_call_read_all(store, &f->view, st) != STATUS_OK)
		return st->code;
	while ((d = view_next(&f->view, DOC_ROSTER, d)))
		add_roster(f, d->u.roster);
	if (f->count)
		qsort(f->nodes, f->count, sizeof(*f->nodes), compare_nodes);
	return STATUS_OK;
}

void fleet_done(struct fleet *f)
{
	for (size_t i = 0; i < f->count; i++)
		json_decref(f->nodes[i].page);
	free(f->nodes);
	view_done(&f->view);
}

void fleet_fetch(struct fleet *f, const char *path)
{
	struct http_get *gets = mem_zalloc(f->count, sizeof(*gets));

	for (size_t i = 0; i < f->count; i++) {
		mem_copy_str(gets[i].addr, f->nodes[i].member->http_addr,
			     sizeof(gets[i].addr));
		gets[i].path = path;
	}
	http_get_all(gets, f->count, FETCH_TIMEOUT_MS);
	for (size_t i = 0; i < f->count; i++) {
		json_decref(f->nodes[i].page);
		f->nodes[i].page =
			gets[i].text ? json_loads(gets[i].text, 0, NULL) : NULL;
		free(gets[i].text);
	}
	free(gets);
}

const struct fleet_member *fleet_find(const struct fleet *f, const char *name)
{
	for (size_t i = 0; i < f->count; i++)
		if (!strcmp(f->nodes[i].member->name, name))
			return &f->nodes[i];
	return NULL;
}

const char *fleet_name(const struct fleet *f, incarnation_t inc)
{
	for (size_t i = 0; i < f->count; i++)
		if (f->nodes[i].member->inc == inc)
			return f->nodes[i].member->name;
	return "-";
}

revision_t fleet_manifest_revision(const struct fleet *f)
{
	const struct doc *d = view_doc(&f->view, DOC_MANIFEST, "");

	return d ? d->revision : 0;
}
