#include "cli/diff.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "cli/exit_code.h"
#include "cli/manifest_file.h"
#include "cli/store_call.h"
#include "io/manifest_diff.h"

static const char *const kind_names[] = {
	[CHANGE_ADDED] = "added",
	[CHANGE_REMOVED] = "removed",
	[CHANGE_FIELD] = "changed",
};

static void print_json(const struct list *changes)
{
	const struct change *c;
	json_t *array = json_array();

	list_for_each_entry(c, changes, link)
		json_array_append_new(
			array, json_pack("{s:s,s:s,s:s,s:s}", "kind",
					 kind_names[c->kind], "what", c->what,
					 "from", c->from, "to", c->to));
	json_dumpf(array, stdout, JSON_INDENT(2));
	printf("\n");
	json_decref(array);
}

void diff_print(const struct list *changes, bool json)
{
	const struct change *c;

	if (json) {
		print_json(changes);
		return;
	}
	list_for_each_entry(c, changes, link) {
		char *line = change_line(c);

		printf("%s\n", line);
		free(line);
	}
}

static int diff(const struct cli_options *o, const struct view *fleet)
{
	const struct manifest *old = view_manifest(fleet);
	const struct doc *in_force = view_doc(fleet, DOC_MANIFEST, "");
	struct manifest *m = manifest_file_read(o->args[0], fleet, o->json);
	struct list changes;

	if (!m)
		return CLI_FINDINGS;
	list_init(&changes);
	if (!manifest_diff(old, m, &changes) && !o->json)
		printf("no change to revision %lu\n",
		       (unsigned long)in_force->revision);
	else
		diff_print(&changes, o->json);
	fprintf(stderr, "revision in force: %lu\n",
		in_force ? (unsigned long)in_force->revision : 0);
	changes_delete(&changes);
	manifest_delete(m);
	return CLI_OK;
}

int diff_run(const struct cli_options *o)
{
	struct view fleet;
	struct status st;
	int code = CLI_FAILED;

	view_init(&fleet);
	if (store_call_read_all(o->store, &fleet, &st) == STATUS_OK)
		code = diff(o, &fleet);
	else
		fprintf(stderr, "%s\n", st.msg);
	view_done(&fleet);
	return code;
}
