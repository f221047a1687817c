#include "cli/manifest_file.h"

#include <stdio.h>
#include <stdlib.h>

#include "cli/findings_show.h"
#include "core/status.h"
#include "io/file.h"
#include "io/manifest_reader.h"

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
	if (f.count || !json)
		findings_show(&f, json);
	findings_done(&f);
	return m;
}
