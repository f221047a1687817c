#include "cli/apply.h"

#include <stdio.h>
#include <string.h>
#include <sys/random.h>

#include "cli/diff.h"
#include "cli/exit_code.h"
#include "cli/manifest_file.h"
#include "cli/rollout.h"
#include "cli/store_call.h"
#include "core/text.h"
#include "io/manifest_diff.h"

static bool new_change_id(char *id, size_t cap)
{
	uint64_t r[2] = {0};

	if (getrandom(r, sizeof(r), 0) != sizeof(r))
		return false;
	text_format(id, cap, "%016lx%016lx", (unsigned long)r[0],
		    (unsigned long)r[1]);
	return true;
}

/*
 * A lost answer is settled by reading back whose change is in the store. If
 * it is another's, ours may have been in force before it: not known.
 */
static int settle(const char *addr, struct doc *d)
{
	struct status st;
	struct doc *now = store_call_get(addr, &d->key, &st);
	int code = CLI_UNKNOWN;

	if (!now || !now->u.manifest) {
		fprintf(stderr, "not known whether it took effect: run it "
				"again\n");
	} else if (!strcmp(now->u.manifest->change_id,
			   d->u.manifest->change_id)) {
		d->revision = now->revision;
		code = CLI_OK;
	} else if (now->revision == d->revision) {
		fprintf(stderr, "the store did not take it: run it again\n");
	} else {
		fprintf(stderr,
			"conflict: revision %lu is another operator's\n",
			(unsigned long)now->revision);
		code = CLI_CONFLICT;
	}
	doc_delete(now);
	return code;
}

static int write_manifest(const char *addr, struct doc *d)
{
	struct status st;

	switch (store_call_cas(addr, d, &st)) {
	case STATUS_OK:
		return CLI_OK;
	case STATUS_CONFLICT:
		fprintf(stderr, "conflict: another operator applied first; see "
				"jackdaw diff\n");
		return CLI_CONFLICT;
	default:
		fprintf(stderr, "%s; reading back\n", st.msg);
		return settle(addr, d);
	}
}

/* Replaces the manifest that @d holds by @m (taken). */
static int replace(const struct cli_options *o, struct doc *d,
		   struct manifest *m)
{
	int code;

	manifest_delete(d->u.manifest);
	d->u.manifest = m;
	if (!new_change_id(m->change_id, sizeof(m->change_id)))
		return CLI_FAILED;
	code = write_manifest(o->store, d);
	if (code == CLI_OK)
		printf("applied: revision %lu\n", (unsigned long)d->revision);
	return code;
}

static int apply(const struct cli_options *o, struct doc *d)
{
	struct manifest *m =
		manifest_file_read(o->words[0], d->u.manifest, o->json);
	struct list changes;
	int count, code = CLI_OK;

	if (!m)
		return CLI_FINDINGS;
	list_init(&changes);
	count = manifest_diff(d->u.manifest, m, &changes);
	if (!count && d->u.manifest) {
		printf("already in force: revision %lu\n",
		       (unsigned long)d->revision);
		manifest_delete(m);
	} else {
		code = replace(o, d, m);
	}
	changes_delete(&changes);
	if (code == CLI_OK && o->wait)
		code = rollout_wait(o, d->revision);
	return code;
}

int apply_run(const struct cli_options *o)
{
	struct doc_key key = {.kind = DOC_MANIFEST};
	struct status st;
	struct doc *d = store_call_get(o->store, &key, &st);
	int code;

	if (!d) {
		fprintf(stderr, "%s\n", st.msg);
		return CLI_FAILED;
	}
	code = apply(o, d);
	doc_delete(d);
	return code;
}
