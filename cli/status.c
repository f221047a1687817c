#include "cli/status.h"

#include <jansson.h>
#include <stdio.h>

#include "cli/exit_code.h"
#include "cli/fleet.h"
#include "core/text.h"

static const char *const member_state_names[] = {
	[MEMBER_UP] = "up",
	[MEMBER_LEAVING] = "leaving",
	[MEMBER_REVOKED] = "revoked",
};

static const char *const dc_state_names[] = {
	[DC_IN] = "in",
	[DC_LEAVING] = "leaving",
	[DC_OUT] = "out",
};

static json_t *node_json(const struct fleet *f, const struct fleet_member *n)
{
	const struct member *m = n->member;
	char inc[24];

	text_format(inc, sizeof(inc), "%016lx", (unsigned long)m->inc);
	return json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:I,s:o}", "name",
			 m->name, "data_centre", n->roster->dc, "region",
			 n->roster->region, "service", m->service, "state",
			 member_state_names[m->state], "incarnation", inc,
			 "http_addr", m->http_addr, "keeper",
			 fleet_name(f, m->keeper), "keeper_term",
			 (json_int_t)m->term, "page",
			 n->page ? json_incref(n->page) : json_null());
}

static json_t *nodes_json(const struct fleet *f)
{
	json_t *all = json_array();

	for (size_t i = 0; i < f->count; i++)
		json_array_append_new(all, node_json(f, &f->nodes[i]));
	return all;
}

static json_t *data_centres_json(const struct fleet *f)
{
	const struct manifest *m = view_manifest(&f->view);
	const struct data_centre *d;
	json_t *all = json_array();

	if (!m)
		return all;
	list_for_each_entry(d, &m->data_centres, link) {
		const struct roster *r = view_roster(&f->view, d->name);
		json_int_t nodes = 0;

		for (size_t i = 0; i < f->count; i++)
			nodes += f->nodes[i].roster == r;
		json_array_append_new(all, json_pack("{s:s,s:s,s:s,s:I}",
						     "name", d->name, "region",
						     d->region, "state",
						     dc_state_names[d->state],
						     "nodes", nodes));
	}
	return all;
}

static json_t *route_json(const struct fleet *f, const struct shard_map *map)
{
	json_int_t moving = 0, orphaned = 0;

	for (uint32_t i = 0; i < map->count; i++) {
		const struct shard *s = &map->shards[i];

		moving += s->target != 0;
		orphaned += !view_member(&f->view, s->owner, NULL);
	}
	return json_pack("{s:s,s:I,s:I,s:I}", "route", map->route, "shards",
			 (json_int_t)map->count, "moving", moving, "orphaned",
			 orphaned);
}

static json_t *routes_json(const struct fleet *f)
{
	const struct doc *d = NULL;
	json_t *all = json_array();

	while ((d = view_next(&f->view, DOC_MAP, d)))
		json_array_append_new(all, route_json(f, d->u.map));
	return all;
}

static json_t *fleet_json(const struct fleet *f)
{
	return json_pack("{s:I,s:s,s:o,s:o,s:o}", "manifest_revision",
			 (json_int_t)fleet_manifest_revision(f), "planner",
			 fleet_name(f, view_planner(&f->view).holder),
			 "data_centres", data_centres_json(f), "routes",
			 routes_json(f), "nodes", nodes_json(f));
}

static void print_nodes(const struct fleet *f)
{
	printf("%-16s %-14s %-12s %-8s %-6s %7s %-16s %s\n", "NODE",
	       "DATA CENTRE", "SERVICE", "STATE", "LEASE", "SHARDS", "KEEPER",
	       "MANIFEST");
	for (size_t i = 0; i < f->count; i++) {
		const struct fleet_member *n = &f->nodes[i];
		json_t *serve = json_object_get(n->page, "may_serve");
		json_t *shards = json_object_get(n->page, "shards");
		json_t *rev = json_object_get(n->page, "manifest_revision");

		printf("%-16s %-14s %-12s %-8s %-6s %7ld %-16s ",
		       n->member->name, n->roster->dc, n->member->service,
		       member_state_names[n->member->state],
		       !n->page		     ? "?"
		       : json_is_true(serve) ? "valid"
					     : "none",
		       (long)json_integer_value(shards),
		       fleet_name(f, n->member->keeper));
		if (n->page)
			printf("%ld\n", (long)json_integer_value(rev));
		else
			printf("no answer\n");
	}
}

static void print_text(const struct fleet *f, json_t *all)
{
	json_t *it;
	size_t i;

	printf("manifest revision %lu, planner %s\n\n",
	       (unsigned long)fleet_manifest_revision(f),
	       fleet_name(f, view_planner(&f->view).holder));
	json_array_foreach(json_object_get(all, "data_centres"), i, it)
	{
		const char *name, *region, *state;
		json_int_t nodes;

		json_unpack(it, "{s:s,s:s,s:s,s:I}", "name", &name, "region",
			    &region, "state", &state, "nodes", &nodes);
		printf("data centre %s (%s): %s, %ld nodes\n", name, region,
		       state, (long)nodes);
	}
	json_array_foreach(json_object_get(all, "routes"), i, it)
	{
		json_int_t shards, moving, orphaned;
		const char *route;

		json_unpack(it, "{s:s,s:I,s:I,s:I}", "route", &route, "shards",
			    &shards, "moving", &moving, "orphaned", &orphaned);
		printf("route %s: %ld shards, %ld moving, %ld without an "
		       "owner\n",
		       route, (long)shards, (long)moving, (long)orphaned);
	}
	printf("\n");
	print_nodes(f);
}

int status_run(const struct cli_options *o)
{
	struct status st;
	struct fleet f;
	json_t *all;

	if (fleet_read(&f, o->store, &st) != STATUS_OK) {
		fprintf(stderr, "%s\n", st.msg);
		fleet_done(&f);
		return CLI_FAILED;
	}
	fleet_fetch(&f, "/-/status");
	all = fleet_json(&f);
	if (o->json) {
		json_dumpf(all, stdout, JSON_INDENT(2) | JSON_PRESERVE_ORDER);
		printf("\n");
	} else {
		print_text(&f, all);
	}
	json_decref(all);
	fleet_done(&f);
	return CLI_OK;
}
