#include "cli/report.h"

#include <errno.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "cli/burn_html.h"
#include "cli/burn_report.h"
#include "cli/exit_code.h"
#include "cli/fleet.h"

static void print_row(const struct burn_row *row)
{
	struct burn_count three_days = row->windows[BURN_3_D];

	printf("%-16s %-16s %8.4f%% %6lu ms %10lu %8lu", row->route,
	       row->organisation[0] ? row->organisation : "-",
	       row->objective_ppm / 1e4, (unsigned long)row->objective_ms,
	       (unsigned long)three_days.good, (unsigned long)three_days.bad);
	for (int w = 0; w < BURN_WINDOW_COUNT; w++)
		printf(" %8.2f",
		       burn_rate(row->windows[w], row->objective_ppm));
	printf(" %8.1f%%\n", 100 * burn_row_budget_left(row));
}

static void print_text(const struct burn_report *r)
{
	const struct burn_row *row;

	printf("%-16s %-16s %9s %9s %10s %8s", "ROUTE", "ORGANISATION",
	       "OBJECTIVE", "WITHIN", "GOOD 3d", "BAD 3d");
	for (int w = 0; w < BURN_WINDOW_COUNT; w++)
		printf("  BURN %2s",
		       burn_window_find((enum burn_window)w)->name);
	printf(" %9s\n", "LEFT");
	list_for_each_entry(row, &r->rows, link)
		print_row(row);
}

static json_t *row_json(const struct burn_row *row)
{
	json_t *windows = json_object();

	for (int w = 0; w < BURN_WINDOW_COUNT; w++)
		json_object_set_new(
			windows, burn_window_find((enum burn_window)w)->name,
			json_pack("{s:I,s:I,s:f}", "good",
				  (json_int_t)row->windows[w].good, "bad",
				  (json_int_t)row->windows[w].bad, "burn_rate",
				  burn_rate(row->windows[w],
					    row->objective_ppm)));
	return json_pack("{s:s,s:s,s:I,s:I,s:f,s:o}", "route", row->route,
			 "organisation", row->organisation, "objective_ppm",
			 (json_int_t)row->objective_ppm, "objective_ms",
			 (json_int_t)row->objective_ms, "budget_left",
			 burn_row_budget_left(row), "windows", windows);
}

static void print_json(const struct burn_report *r)
{
	const struct burn_row *row;
	json_t *rows = json_array();
	json_t *report;

	list_for_each_entry(row, &r->rows, link)
		json_array_append_new(rows, row_json(row));
	report = json_pack("{s:I,s:I,s:o}", "nodes", (json_int_t)r->nodes_asked,
			   "answered", (json_int_t)r->nodes_answered, "rows",
			   rows);
	json_dumpf(report, stdout, JSON_INDENT(2) | JSON_PRESERVE_ORDER);
	printf("\n");
	json_decref(report);
}

static int write_html(const struct burn_report *r, const char *path)
{
	FILE *out = fopen(path, "w");

	if (!out) {
		fprintf(stderr, "%s: %s\n", path, strerror(errno));
		return CLI_FAILED;
	}
	burn_html_write(out, r);
	if (fclose(out) != 0) {
		fprintf(stderr, "%s: %s\n", path, strerror(errno));
		return CLI_FAILED;
	}
	return CLI_OK;
}

static int print_report(const struct cli_options *o,
			const struct burn_report *r)
{
	if (o->json)
		print_json(r);
	else
		print_text(r);
	if (r->nodes_answered < r->nodes_asked)
		fprintf(stderr, "only %zu of %zu nodes answered\n",
			r->nodes_answered, r->nodes_asked);
	return o->html ? write_html(r, o->html) : CLI_OK;
}

int report_run(const struct cli_options *o)
{
	const struct manifest *m;
	struct burn_report r;
	struct status st;
	struct fleet f;
	int code = CLI_FAILED;

	burn_report_init(&r);
	if (fleet_read(&f, o->store, &st) != STATUS_OK) {
		fprintf(stderr, "%s\n", st.msg);
	} else if (!(m = view_manifest(&f.view))) {
		fprintf(stderr, "no manifest is in force\n");
		code = CLI_NOT_FOUND;
	} else {
		fleet_fetch(&f, "/-/burn");
		for (size_t i = 0; i < f.count; i++)
			burn_report_add(&r, m, f.nodes[i].page);
		code = print_report(o, &r);
	}
	burn_report_done(&r);
	fleet_done(&f);
	return code;
}
