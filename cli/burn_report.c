#include "cli/burn_report.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"

void burn_report_init(struct burn_report *r)
{
	memset(r, 0, sizeof(*r));
	list_init(&r->rows);
}

void burn_report_done(struct burn_report *r)
{
	struct burn_row *row, *tmp;

	list_for_each_entry_safe(row, tmp, &r->rows, link) {
		list_remove(&row->link);
		free(row);
	}
}

static int compare(const struct burn_row *row, const char *route,
		   const char *organisation)
{
	int order = strcmp(row->route, route);

	return order ? order : strcmp(row->organisation, organisation);
}

/* The row of @route and @organisation; a new one is inserted in order. */
static struct burn_row *find_or_add_row(struct burn_report *r,
					const struct route *route,
					const char *organisation)
{
	struct list *pos = &r->rows;
	struct burn_row *row;

	list_for_each_entry(row, &r->rows, link) {
		int order = compare(row, route->name, organisation);

		if (!order)
			return row;
		if (order > 0) {
			pos = &row->link;
			break;
		}
	}
	row = mem_new(struct burn_row);
	mem_copy_str(row->route, route->name, sizeof(row->route));
	mem_copy_str(row->organisation, organisation,
		     sizeof(row->organisation));
	row->objective_ppm = route->objective_ppm;
	row->objective_ms = route->objective_ms;
	list_insert_before(pos, &row->link);
	return row;
}

static uint64_t count_from_json(json_t *v)
{
	json_int_t n = json_integer_value(v);

	return n > 0 ? (uint64_t)n : 0;
}

static void add_windows(struct burn_row *row, json_t *windows)
{
	for (int w = 0; w < BURN_WINDOW_COUNT; w++) {
		const char *name = burn_window_find((enum burn_window)w)->name;
		json_t *o = json_object_get(windows, name);

		row->windows[w].good +=
			count_from_json(json_object_get(o, "good"));
		row->windows[w].bad +=
			count_from_json(json_object_get(o, "bad"));
	}
}

static void add_history(struct burn_row *row, json_t *history)
{
	json_t *it;
	size_t i;

	json_array_foreach(history, i, it)
	{
		if (i >= BURN_HISTORY_MAX)
			return;
		row->history[i].good += count_from_json(json_array_get(it, 0));
		row->history[i].bad += count_from_json(json_array_get(it, 1));
	}
}

void burn_report_add(struct burn_report *r, const struct manifest *m,
		     json_t *page)
{
	json_t *it;
	size_t i;

	r->nodes_asked++;
	r->nodes_answered += page != NULL;
	json_array_foreach(json_object_get(page, "series"), i, it)
	{
		const char *name =
			json_string_value(json_object_get(it, "route"));
		const char *organisation =
			json_string_value(json_object_get(it, "organisation"));
		const struct route *route =
			name ? manifest_route(m, name) : NULL;
		struct burn_row *row;

		if (!route || !organisation)
			continue;
		row = find_or_add_row(r, route, organisation);
		add_windows(row, json_object_get(it, "windows"));
		add_history(row, json_object_get(it, "history"));
	}
}

double burn_row_budget_left(const struct burn_row *row)
{
	return 1 - burn_rate(row->windows[BURN_3_D], row->objective_ppm);
}
