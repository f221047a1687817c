#include "cli/burn_html.h"

#define PLOT_WIDTH  720
#define PLOT_HEIGHT 120

static const char head[] =
	"<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\">\n"
	"<title>Service-level burn</title>\n<style>\n"
	"body{font:14px sans-serif;margin:2em}\n"
	"table{border-collapse:collapse}\n"
	"td,th{padding:.2em .8em;text-align:right;"
	"border-bottom:1px solid #ccc}\n"
	"td:first-child,th:first-child{text-align:left}\n"
	"svg{background:#fafafa;border:1px solid #ccc}\n"
	"</style>\n<h1>Service-level burn</h1>\n";

static void write_text(FILE *out, const char *s)
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
	write_text(out, row->route);
	fputs(" / ", out);
	write_text(out, row->organisation[0] ? row->organisation : "-");
}

static void write_row(FILE *out, const struct burn_row *row)
{
	struct burn_count all = row->windows[BURN_3_D];

	fputs("<tr><td>", out);
	write_name(out, row);
	fprintf(out, "</td><td>%.4f %% in %lu ms</td><td>%lu</td><td>%lu</td>",
		row->objective_ppm / 1e4, (unsigned long)row->objective_ms,
		(unsigned long)all.good, (unsigned long)all.bad);
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

static double highest_rate(const struct burn_row *row)
{
	double high = 2;

	for (int i = 0; i < BURN_HISTORY_MAX; i++) {
		double rate = burn_rate(row->history[i], row->objective_ppm);

		if (rate > high)
			high = rate;
	}
	return high;
}

/* Burn rate of each bucket; the dashed line is a rate of 1. */
static void write_plot(FILE *out, const struct burn_row *row)
{
	const double high = highest_rate(row);
	const double step = (double)PLOT_WIDTH / BURN_HISTORY_MAX;
	const double one = PLOT_HEIGHT - PLOT_HEIGHT / high;

	fputs("<h2>", out);
	write_name(out, row);
	fprintf(out,
		"</h2>\n<p>Burn rate over the last 6 hours, 0 to %.1f; the "
		"dashed line is 1.</p>\n"
		"<svg viewBox=\"0 0 %d %d\" width=\"%d\" height=\"%d\">\n"
		"<line x1=\"0\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" "
		"stroke=\"#888\" stroke-dasharray=\"4\"/>\n",
		high, PLOT_WIDTH, PLOT_HEIGHT, PLOT_WIDTH, PLOT_HEIGHT,
		PLOT_WIDTH, one, one);
	for (int i = 0; i < BURN_HISTORY_MAX; i++) {
		double rate = burn_rate(row->history[i], row->objective_ppm);
		double height = rate / high * PLOT_HEIGHT;

		if (rate > 0)
			fprintf(out,
				"<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" "
				"height=\"%.1f\" fill=\"%s\"/>\n",
				i * step, PLOT_HEIGHT - height, step - 1,
				height, rate > 1 ? "#c33" : "#39c");
	}
	fputs("</svg>\n", out);
}

void burn_html_write(FILE *out, const struct burn_report *r)
{
	const struct burn_row *row;

	fputs(head, out);
	fprintf(out,
		"<p>%zu of %zu nodes answered. Counts are kept on the nodes; "
		"those of a replaced VM are gone.</p>\n",
		r->answered, r->asked);
	write_table(out, r);
	list_for_each_entry(row, &r->rows, link)
		write_plot(out, row);
	fputs("</html>\n", out);
}
