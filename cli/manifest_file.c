#include "cli/manifest_file.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "core/finding.h"
#include "core/status.h"
#include "io/file.h"
#include "io/manifest_reader.h"

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

struct manifest *manifest_file_read(const char *path, const struct view *fleet,
				    bool json)
{
	struct manifest *m;
	struct findings f;
	struct status st;
	char *text = file_read(path, &st);

	if (!text) {
		fprintf(stderr, "%s\n", st.msg);
		return NULL;
	}
	findings_init(&f);
	m = manifest_read_change(path, text, fleet, &f);
	free(text);
	findings_sort(&f);
	if (json && f.count)
		print_json(&f);
	else
		print_lines(&f);
	findings_done(&f);
	return m;
}
