#include "cli/apply.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

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

/* Writes @m (taken) over the manifest of @revision; gives the new one. */
static int replace(const struct cli_options *o, struct manifest *m,
		   revision_t *revision)
{
	struct doc *d = doc_new(DOC_MANIFEST, "");
	int code = CLI_FAILED;

	d->u.manifest = m;
	d->revision = *revision;
	if (new_change_id(m->change_id, sizeof(m->change_id)))
		code = write_manifest(o->store, d);
	if (code == CLI_OK)
		printf(o->json ? "{\"result\":\"applied\",\"revision\":%lu}\n"
			       : "applied: revision %lu\n",
		       (unsigned long)d->revision);
	*revision = d->revision;
	doc_delete(d);
	return code;
}

static bool same(const struct manifest *in_force, const struct manifest *m)
{
	struct list changes;
	int count;

	list_init(&changes);
	count = manifest_diff(in_force, m, &changes);
	changes_delete(&changes);
	return in_force && !count;
}

/* True unless the caller named another revision than the one in force. */
static bool is_on(const struct cli_options *o, revision_t revision)
{
	char *end;

	return !o->expected_revision ||
	       (strtoull(o->expected_revision, &end, 10) == revision && !*end &&
		end != o->expected_revision);
}

static int apply(const struct cli_options *o, const struct view *fleet)
{
	const struct doc *in_force = view_doc(fleet, DOC_MANIFEST, "");
	revision_t revision = in_force ? in_force->revision : 0;
	struct manifest *m = manifest_file_read(o->args[0], fleet, o->json);
	int code = CLI_OK;

	if (!m)
		return CLI_FINDINGS;
	if (same(view_manifest(fleet), m)) {
		printf(o->json ? "{\"result\":\"already\",\"revision\":%lu}\n"
			       : "already in force: revision %lu\n",
		       (unsigned long)revision);
		manifest_delete(m);
	} else if (!is_on(o, revision)) {
		fprintf(stderr, "conflict: revision %lu is in force, not %s\n",
			(unsigned long)revision, o->expected_revision);
		manifest_delete(m);
		code = CLI_CONFLICT;
	} else {
		code = replace(o, m, &revision);
	}
	if (code == CLI_OK && o->wait)
		code = rollout_wait(o, revision);
	return code;
}

int apply_run(const struct cli_options *o)
{
	struct view fleet;
	struct status st;
	int code = CLI_FAILED;

	view_init(&fleet);
	if (store_call_read_all(o->store, &fleet, &st) == STATUS_OK)
		code = apply(o, &fleet);
	else
		fprintf(stderr, "%s\n", st.msg);
	view_done(&fleet);
	return code;
}
