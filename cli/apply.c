#include "cli/apply.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "cli/exit_code.h"
#include "cli/store_call.h"
#include "core/mem.h"
#include "core/text.h"
#include "io/file.h"
#include "io/manifest_reader.h"

static struct manifest *read_manifest(const char *path)
{
	struct manifest *m = NULL;
	const struct finding *it;
	struct findings f;
	struct status st;
	char *text = file_read(path, &st);

	if (!text) {
		fprintf(stderr, "%s\n", st.msg);
		return NULL;
	}
	findings_init(&f);
	m = manifest_read(path, text, &f);
	free(text);
	findings_sort(&f);
	list_for_each_entry(it, &f.items, link) {
		char *line = finding_line(it);

		fprintf(stderr, "%s\n", line);
		free(line);
	}
	findings_done(&f);
	return m;
}

int cli_check(const char *path)
{
	struct manifest *m = read_manifest(path);

	if (!m)
		return CLI_FINDINGS;
	manifest_delete(m);
	printf("%s: ok\n", path);
	return CLI_OK;
}

static void new_change_id(char *id, size_t cap)
{
	uint64_t r[2] = {0};

	if (getrandom(r, sizeof(r), 0) != sizeof(r))
		abort();
	text_format(id, cap, "%016lx%016lx", (unsigned long)r[0],
		    (unsigned long)r[1]);
}

/* A lost answer is settled by reading back whose change is in the store. */
static int settle(const char *addr, const struct doc *d, struct status *st)
{
	struct doc *now = store_call_get(addr, &d->key, st);
	int code = CLI_UNKNOWN;

	if (now && now->u.manifest)
		code = strcmp(now->u.manifest->change_id,
			      d->u.manifest->change_id) == 0
			       ? CLI_OK
			       : CLI_CONFLICT;
	if (code == CLI_OK)
		printf("applied: revision %lu\n", (unsigned long)now->revision);
	doc_delete(now);
	return code;
}

static int write_manifest(const char *addr, struct doc *d)
{
	struct status st;

	switch (store_call_cas(addr, d, &st)) {
	case STATUS_OK:
		printf("applied: revision %lu\n", (unsigned long)d->revision);
		return CLI_OK;
	case STATUS_CONFLICT:
		fprintf(stderr, "conflict: %s\n", st.msg);
		return CLI_CONFLICT;
	default:
		fprintf(stderr, "no answer: %s\n", st.msg);
		return settle(addr, d, &st);
	}
}

int cli_apply(const char *path, const char *store_addr)
{
	struct doc_key key = {.kind = DOC_MANIFEST};
	struct manifest *m = read_manifest(path);
	struct status st;
	struct doc *d;
	int code;

	if (!m)
		return CLI_FINDINGS;
	d = store_call_get(store_addr, &key, &st);
	if (!d) {
		fprintf(stderr, "%s\n", st.msg);
		manifest_delete(m);
		return CLI_FAILED;
	}
	manifest_delete(d->u.manifest);
	d->u.manifest = m;
	new_change_id(m->change_id, sizeof(m->change_id));
	code = write_manifest(store_addr, d);
	doc_delete(d);
	return code;
}
