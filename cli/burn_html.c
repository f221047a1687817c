#include "cli/burn_html.h"

#define PLOT_WIDTH_PX  720
#define PLOT_HEIGHT_PX 120

static const char page_head[] =
	"<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\">\n"
	"<title>Service-level burn</title>\n<style>\n"
	"body{font:14px sans-serif;margin:2em}\n"
	"table{border-collapse:collapse}\n"
	"td,th{padding:.2em .8em;text-align:right;"
	"border-bottom:1px solid #ccc}\n"
	"td:first-child,th:first-child{text-align:left}\n"
	"svg{background:#fafafa;border:1px solid #ccc}\n"
	"</style>\n<h1>Service-level burn</h1>\n";

static void write_escaped(FILE *out, const char *s)
{
	for (; *s; s++) {
		switch (*s) {
		case '<':
			fputs("&lt;", out);
			break;
		case '>':
			fputs("&gt;", out);
			break;
		case '&':
			fputs("&amp;", out);
			break;
		case '"':
			fputs("&quot;", out);
			break;
		default:
			fputc(*s, out);
		}
	}
}

static void write_name(FILE *out, const struct burn_row *row)
{
	write_escaped(out, row->route);
	fputs(" / ", out);
	write_escaped(out, row->organisation[0] ? row->organisation : "-");
}

static void write_row(FILE *out, const struct burn_row *row)
{
	struct burn_count three_days = row->windows[BURN_3_D];

	fputs("<tr><td>", out);
	write_name(out, row);
	fprintf(out, "</td><td>%.4f %% in %lu ms</td><td>%lu</td><td>%lu</td>",
		row->objective_ppm / 1e4, (unsigned long)row->objective_ms,
		(unsigned long)three_days.good, (unsigned long)three_days.bad);
	for (int w = 0; w < BURN_WINDOW_COUNT; w++)
		fprintf(out, "<td>%.2f</td>",
			burn_rate(row->windows[w], row->objective_ppm));
	fprintf(out, "<td>%.1f %%</td></tr>\n",
		100 * burn_row_budget_left(row));
}

static void write_table(FILE *out, const struct burn_report *r)
{
	const struct burn_row *row;

	fputs("<table><tr><th>route / organisation</th><th>objective</th>"
	      "<th>good 3d</th><th>bad 3d</th>",
	      out);
	for (int w = 0; w < BURN_WINDOW_COUNT; w++)
		fprintf(out, "<th>burn %s</th>",
			burn_window_find((enum burn_window)w)->name);
	fputs("<th>budget left</th></tr>\n", out);
	list_for_each_entry(row, &r->rows, link)
		write_row(out, row);
	fputs("</table>\n", out);
}

static double find_max_rate(const struct burn_row *row)
{
	double max_rate = 2;

	for (int i = 0; i < BURN_HISTORY_MAX; i++) {
		double rate = burn_rate(row->history[i], row->objective_ppm);

		if (rate > max_rate)
			max_rate = rate;
	}
	return max_rate;
}

/* Bar chart of the burn rate per bucket; the dashed line is a rate of 1. */
static void write_plot(FILE *out, const struct burn_row *row)
{
	const double max_rate = find_max_rate(row);
	const double bar_width = (double)PLOT_WIDTH_PX / BURN_HISTORY_MAX;
	const double rate_1_y = PLOT_HEIGHT_PX - PLOT_HEIGHT_PX / max_rate;

	fputs("<h2>", out);
	write_name(out, row);
	fprintf(out,
		"</h2>\n<p>Burn rate over the last 6 hours, 0 to %.1f; the "
		"dashed line is 1.</p>\n"
		"<svg viewBox=\"0 0 %d %d\" width=\"%d\" height=\"%d\">\n"
		"<line x1=\"0\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" "
		"stroke=\"#888\" stroke-dasharray=\"4\"/>\n",
		max_rate, PLOT_WIDTH_PX, PLOT_HEIGHT_PX, PLOT_WIDTH_PX,
		PLOT_HEIGHT_PX, PLOT_WIDTH_PX, rate_1_y, rate_1_y);
	for (int i = 0; i < BURN_HISTORY_MAX; i++) {
		double rate = burn_rate(row->history[i], row->objective_ppm);
		double height = rate / max_rate * PLOT_HEIGHT_PX;

		if (rate > 0)
			fprintf(out,
				"<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" "
				"height=\"%.1f\" fill=\"%s\"/>\n",
				i * bar_width, PLOT_HEIGHT_PX - height,
				bar_width - 1, height,
				rate > 1 ? "#c33" : "#39c");
	}
	fputs("</svg>\n", out);
}

void burn_html_write(FILE *out, const struct burn_report *r)
{
	const struct burn_row *row;

	fputs(page_head, out);
	fprintf(out,
		"<p>%zu of %zu nodes answered. Counts are kept on the nodes; "
		"those of a replaced VM are gone.</p>\n",
		r->nodes_answered, r->nodes_asked);
	write_table(out, r);
	list_for_each_entry(row, &r->rows, link)
		write_plot(out, row);
	fputs("</html>\n", out);
}
