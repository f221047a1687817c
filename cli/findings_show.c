#include "cli/findings_show.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

static void print_lines(const struct findings *f)
{
	const struct finding *it;

	list_for_each_entry(it, &f->items, link) {
		char *line = finding_line(it);

		fprintf(stderr, "%s\n", line);
		free(line);
	}
}

static void print_json(const struct findings *f)
{
	const struct finding *it;
	json_t *array = json_array();

	list_for_each_entry(it, &f->items, link)
		json_array_append_new(
			array,
			json_pack("{s:s,s:i,s:i,s:s,s:s,s:s}", "file", it->file,
				  "line", it->line, "column", it->column,
				  "field", it->field, "expected", it->expected,
				  "found", it->found));
	json_dumpf(array, stdout, JSON_INDENT(2));
	printf("\n");
	json_decref(array);
}

void findings_show(const struct findings *f, bool json)
{
	if (json)
		print_json(f);
	else
		print_lines(f);
}
