#include "cli/where.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "cli/exit_code.h"
#include "cli/fleet.h"
#include "core/text.h"

#define WHY_MAX_BYTES 128

static void describe_shard(const struct shard_map *map, const struct shard *s,
			   const char *key, char *why, size_t cap)
{
	if (s >= map->shards && s < map->shards + map->count)
		text_format(why, cap, "shard %u of %u",
			    shard_map_index(map, key, strlen(key)), map->count);
	else
		text_format(why, cap, "pinned key");
}

static void print_json(json_t *answer)
{
	json_dumpf(answer, stdout, JSON_INDENT(2) | JSON_PRESERVE_ORDER);
	printf("\n");
}

static void print_answer(const struct cli_options *o, json_t *answer)
{
	const char *owner, *dc, *target, *why;
	json_int_t epoch;

	if (o->json) {
		print_json(answer);
		return;
	}
	json_unpack(answer, "{s:s,s:s,s:I,s:s,s:s}", "owner", &owner,
		    "data_centre", &dc, "epoch", &epoch, "moves_to", &target,
		    "why", &why);
	printf("owner %s in %s, epoch %ld, %s%s%s\n", owner, dc, (long)epoch,
	       why, strcmp(target, "-") != 0 ? ", moves to " : "",
	       strcmp(target, "-") != 0 ? target : "");
}

static int where_keyed(const struct cli_options *o, const struct fleet *f,
		       const struct shard_map *map)
{
	const char *key = o->args[1];
	const struct shard *s = shard_map_find(map, key);
	const struct roster *r = NULL;
	const struct member *m = view_member(&f->view, s->owner, &r);
	char why[WHY_MAX_BYTES];
	json_t *answer;

	describe_shard(map, s, key, why, sizeof(why));
	answer =
		json_pack("{s:s,s:s,s:s,s:s,s:I,s:s,s:s}", "route", map->route,
			  "key", key, "owner", m ? m->name : "-", "data_centre",
			  m ? r->dc : "-", "epoch", (json_int_t)s->epoch,
			  "moves_to", fleet_name(f, s->target), "why", why);
	print_answer(o, answer);
	json_decref(answer);
	return m ? CLI_OK : CLI_NOT_FOUND;
}

static int where_any(const struct cli_options *o, const struct route *route)
{
	json_t *answer =
		json_pack("{s:s,s:s,s:n,s:s}", "route", route->name, "key",
			  o->args[1], "owner", "why", "any endpoint");

	if (o->json)
		print_json(answer);
	else
		printf("any endpoint of %s: the route has no owners\n",
		       route->service);
	json_decref(answer);
	return CLI_OK;
}

static int where(const struct cli_options *o, const struct fleet *f)
{
	const char *name = o->args[0];
	const struct manifest *m = view_manifest(&f->view);
	const struct route *route = m ? manifest_route(m, name) : NULL;
	const struct shard_map *map = view_map(&f->view, name);

	if (!route) {
		fprintf(stderr, "no route %s\n", name);
		return CLI_NOT_FOUND;
	}
	if (route->kind == ROUTE_ANY)
		return where_any(o, route);
	if (!map) {
		fprintf(stderr, "no owners yet: no node of %s has joined\n",
			route->service);
		return CLI_NOT_FOUND;
	}
	return where_keyed(o, f, map);
}

int where_run(const struct cli_options *o)
{
	struct status st;
	struct fleet f;
	int code = CLI_FAILED;

	if (fleet_read(&f, o->store, &st) == STATUS_OK)
		code = where(o, &f);
	else
		fprintf(stderr, "%s\n", st.msg);
	fleet_done(&f);
	return code;
}
