#include "io/status_page.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "core/text.h"
#include "io/burn_page.h"
#include "io/metrics.h"

static uint32_t count_owned_shards(const struct node *n)
{
	const struct doc *d = NULL;
	uint32_t count = 0;

	while ((d = view_next(&n->ctx.view, DOC_MAP, d)))
		for (uint32_t i = 0; i < d->u.map->count; i++)
			count += d->u.map->shards[i].owner == n->ctx.self;
	return count;
}

static char *status_json(const struct node *n)
{
	json_t *o = json_object();
	char *text, *line;
	char incarnation[24];

	text_format(incarnation, sizeof(incarnation), "%016lx",
		    (unsigned long)n->ctx.self);
	json_object_set_new(o, "name", json_string(n->opts.name));
	json_object_set_new(o, "data_centre", json_string(n->opts.dc));
	json_object_set_new(o, "incarnation", json_string(incarnation));
	json_object_set_new(
		o, "may_serve",
		json_boolean(membership_may_serve(&n->membership, &n->ctx)));
	json_object_set_new(o, "revision",
			    json_integer((json_int_t)n->ctx.view.revision));
	json_object_set_new(o, "manifest_revision",
			    json_integer((json_int_t)n->manifest_revision));
	json_object_set_new(o, "shards", json_integer(count_owned_shards(n)));
	json_object_set_new(o, "planner", json_boolean(n->planner.is_planner));
	json_object_set_new(o, "keeper",
			    json_boolean(keeper_active(&n->keeper)));
	text = json_dumps(o, JSON_COMPACT | JSON_PRESERVE_ORDER);
	json_decref(o);
	line = text_new("%s\n", text);
	free(text);
	return line;
}

char *status_page(const struct node *n, const struct peers_stats *p,
		  const char *path)
{
	if (!strcmp(path, "/status"))
		return status_json(n);
	if (!strcmp(path, "/metrics"))
		return metrics_page(n, p);
	if (!strcmp(path, "/burn"))
		return burn_page(n);
	return NULL;
}
