#include "io/findings_print.h"

#include <stdlib.h>

int findings_print(struct findings *f, FILE *out)
{
	const struct finding *it;

	findings_sort(f);
	list_for_each_entry(it, &f->items, link) {
		char *line = finding_line(it);

		fprintf(out, "%s\n", line);
		free(line);
	}
	return f->count;
}
