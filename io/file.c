#include "io/file.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/mem.h"

#define FILE_MAX_BYTES (4u << 20)

char *file_read(const char *path, struct status *st)
{
	FILE *f = fopen(path, "rb");
	char *text;
	size_t n;

	if (!f) {
		status_set(st, STATUS_IO, "%s: %s", path, strerror(errno));
		return NULL;
	}
	text = mem_zalloc(FILE_MAX_BYTES + 1, 1);
	n = fread(text, 1, FILE_MAX_BYTES + 1, f);
	fclose(f);
	if (n > FILE_MAX_BYTES) {
		status_set(st, STATUS_TOO_LARGE, "%s: larger than %u bytes",
			   path, FILE_MAX_BYTES);
		free(text);
		return NULL;
	}
	text[n] = '\0';
	return text;
}
