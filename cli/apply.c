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
 * Reads the manifest back after a write without an answer; the change id tells
 * whose write is in the store. With another operator's manifest in the store
 * it stays unknown whether the manifest of @d was in force before it.
 */
static int resolve_lost_answer(const char *addr, struct doc *d)
{
	struct status st;
	struct doc *now = store_call_get(addr, &d->key, &st);
	int code = CLI_UNKNOWN;

	if (!now || !now->u.manifest) {
		fprintf(stderr, "it is unknown whether the manifest took "
				"effect; run the command again\n");
	} else if (!strcmp(now->u.manifest->change_id,
			   d->u.manifest->change_id)) {
		d->revision = now->revision;
		code = CLI_OK;
	} else if (now->revision == d->revision) {
		fprintf(stderr, "the manifest was not written; run the command "
				"again\n");
	} else {
		fprintf(stderr,
			"conflict: revision %lu was written by another "
			"operator\n",
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
		return resolve_lost_answer(addr, d);
	}
}

/*
 * Replaces the manifest of revision @revision with @m, which it owns, and sets
 * @revision to the new revision.
 */
static int replace_manifest(const struct cli_options *o, struct manifest *m,
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

static bool is_unchanged(const struct manifest *in_force,
			 const struct manifest *m)
{
	struct list changes;
	int count;

	list_init(&changes);
	count = manifest_diff(in_force, m, &changes);
	changes_delete(&changes);
	return in_force && !count;
}

/* True if @revision is the one given with --on, or if none was given. */
static bool is_expected_revision(const struct cli_options *o,
				 revision_t revision)
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
	if (is_unchanged(view_manifest(fleet), m)) {
		printf(o->json ? "{\"result\":\"already\",\"revision\":%lu}\n"
			       : "already in force: revision %lu\n",
		       (unsigned long)revision);
		manifest_delete(m);
	} else if (!is_expected_revision(o, revision)) {
		fprintf(stderr, "conflict: revision %lu is in force, not %s\n",
			(unsigned long)revision, o->expected_revision);
		manifest_delete(m);
		code = CLI_CONFLICT;
	} else {
		code = replace_manifest(o, m, &revision);
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
