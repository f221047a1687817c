#include "io/burn_page.h"

#include <jansson.h>
#include <stdlib.h>

#include "core/text.h"

static json_t *burn_count_json(struct burn_count count)
{
	return json_pack("{s:I,s:I}", "good", (json_int_t)count.good, "bad",
			 (json_int_t)count.bad);
}

static json_t *windows_json(const struct burn_series *s, uint64_t now_ns)
{
	json_t *o = json_object();

	for (int w = 0; w < BURN_WINDOW_COUNT; w++)
		json_object_set_new(o,
				    burn_window_find((enum burn_window)w)->name,
				    burn_count_json(burn_sum(
					    s, (enum burn_window)w, now_ns)));
	return o;
}

/* The buckets of the last six hours as [good, bad], the oldest first. */
static json_t *history_json(const struct burn_series *s, uint64_t now_ns)
{
	const struct burn_window_info *w = burn_window_find(BURN_6_H);
	json_t *all = json_array();

	for (uint32_t age = w->buckets; age-- > 0;) {
		struct burn_count bucket =
			burn_bucket_at(s, BURN_6_H, age, now_ns);

		json_array_append_new(all, json_pack("[I,I]",
						     (json_int_t)bucket.good,
						     (json_int_t)bucket.bad));
	}
	return all;
}

char *burn_page(const struct node *n)
{
	const struct burn *b = &n->router.burn;
	const struct burn_series *s;
	json_t *all = json_array();
	json_t *page;
	char *text, *line;

	list_for_each_entry(s, &b->series, link)
		json_array_append_new(
			all,
			json_pack("{s:s,s:s,s:o,s:o}", "route", s->route,
				  "organisation", s->organisation, "windows",
				  windows_json(s, n->ctx.now_ns), "history",
				  history_json(s, n->ctx.now_ns)));
	page = json_pack("{s:s,s:s,s:o}", "name", n->opts.name, "data_centre",
			 n->opts.dc, "series", all);
	text = json_dumps(page, JSON_COMPACT | JSON_PRESERVE_ORDER);
	json_decref(page);
	line = text_new("%s\n", text);
	free(text);
	return line;
}
