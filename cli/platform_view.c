#include "cli/platform_view.h"

#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/exit_code.h"
#include "cli/findings_show.h"
#include "core/config_lint.h"
#include "core/directory.h"
#include "core/mem.h"
#include "core/name.h"
#include "io/clock.h"
#include "io/file.h"
#include "platform/kv_client.h"
#include "platform/records.h"

#define READ_TIMEOUT_NS (5 * NS_PER_S)

/** All records of the store, from one read. */
struct store_snapshot {
	struct event_base *base;
	struct directory dir;
	enum store_end end;
};

static void on_read(void *arg, struct ev_store_end *e)
{
	struct store_snapshot *s = arg;
	struct mesh_actions out;

	s->end = e->end;
	mesh_actions_init(&out);
	if (e->end == STORE_DONE)
		directory_apply(&s->dir, &e->records, true, e->revision,
				clock_now_ns(), &out);
	mesh_actions_done(&out);
	event_base_loopbreak(s->base);
}

/* False, after a message on standard error, if the store does not answer. */
static bool read_snapshot(struct store_snapshot *s, const char *store)
{
	struct act_store_call a = {.op = 1, .kind = CALL_READ_ALL};
	struct kv_client *k;

	s->end = STORE_NO_ANSWER;
	directory_init(&s->dir, "");
	s->base = event_base_new();
	k = kv_client_new(s->base, store, on_read, s);
	list_init(&a.puts);
	a.deadline_ns = clock_now_ns() + READ_TIMEOUT_NS;
	kv_client_call(k, &a);
	event_base_dispatch(s->base);
	kv_client_delete(k);
	event_base_free(s->base);
	if (s->end == STORE_DONE)
		return true;
	fprintf(stderr, "jackdaw: the store at %s did not answer\n", store);
	directory_done(&s->dir);
	return false;
}

static void print_nodes(const struct directory *d)
{
	const struct dir_node *n;

	list_for_each_entry(n, &d->nodes, link)
		printf("node=%s data_centre=%s region=%s addr=%s service=%s "
		       "upstream=%s slots=%u draining=%d\n",
		       n->name, n->card.dc, n->card.region, n->card.peer_addr,
		       n->card.service,
		       n->card.upstream.instance[0] ? n->card.upstream.instance
						    : "none",
		       n->card.slots, n->card.draining);
}

/* The number of keys that no node serves: their owner's node has no card. */
static uint32_t keys_without_node(const struct directory *d,
				  const struct keymap *m)
{
	const struct keyrow *r;
	uint32_t keys = 0;

	list_for_each_entry(r, &m->rows, link)
		if (!directory_node(d, r->owner.node))
			keys += r->to - r->from + 1;
	return keys;
}

/* Returns the number of keys without a node. */
static uint32_t print_keymaps(const struct directory *d)
{
	const struct dir_keymap *k;
	const struct dir_node *n;
	uint32_t unserved = 0;

	list_for_each_entry(k, &d->keymaps, link) {
		uint32_t without = keys_without_node(d, k->map);

		unserved += without;
		printf("service=%s fence=%lu revision=%lu "
		       "keys_without_node=%u\n",
		       k->map->service, (unsigned long)k->map->fence,
		       revision_number(k->revision), without);
		list_for_each_entry(n, &d->nodes, link) {
			uint32_t rows =
				keymap_rows_of(k->map, &n->card.upstream);

			if (rows)
				printf("service=%s upstream=%s node=%s keys=%u "
				       "rows=%u\n",
				       k->map->service,
				       n->card.upstream.instance, n->name,
				       keymap_keys_of(k->map,
						      &n->card.upstream),
				       rows);
		}
	}
	return unserved;
}

int platform_status_run(const struct cli_options *o)
{
	const struct dir_evacuation *z;
	struct store_snapshot s;
	uint32_t unserved;

	if (!read_snapshot(&s, o->store))
		return CLI_FAILED;
	printf("era=%lu revision=%lu config=%lu\n",
	       revision_era(s.dir.revision), revision_number(s.dir.revision),
	       (unsigned long)(s.dir.manifest ? s.dir.manifest->version : 0));
	list_for_each_entry(z, &s.dir.evacuated, link)
		printf("data_centre=%s out=1\n", z->name);
	print_nodes(&s.dir);
	unserved = print_keymaps(&s.dir);
	directory_done(&s.dir);
	return unserved ? CLI_FINDINGS : CLI_OK;
}

int platform_where_run(const struct cli_options *o)
{
	const struct dir_keymap *k;
	const struct keyrow *r = NULL;
	struct store_snapshot s;
	char service[JD_NAME_MAX];
	char *end;
	unsigned long key = strtoul(o->args[1], &end, 10);

	if (*end || !*o->args[1] || key >= KEYMAP_KEYS) {
		fprintf(stderr,
			"jackdaw: %s is not a key number from 0 to %u\n",
			o->args[1], KEYMAP_KEYS - 1);
		return CLI_FINDINGS;
	}
	if (!read_snapshot(&s, o->store))
		return CLI_FAILED;
	name_copy(service, o->args[0], sizeof(service));
	k = directory_keymap(&s.dir, service);
	if (k)
		r = keymap_find(k->map, (uint32_t)key);
	if (r)
		printf("key=%lu service=%s upstream=%s node=%s fence=%lu "
		       "from=%u to=%u target=%s node_present=%d\n",
		       key, o->args[0], r->owner.instance, r->owner.node,
		       (unsigned long)r->fence, r->from, r->to,
		       r->target[0] ? r->target : "none",
		       directory_node(&s.dir, r->owner.node) != NULL);
	else
		fprintf(stderr,
			"jackdaw: no keymap of service %s has this key\n",
			o->args[0]);
	directory_done(&s.dir);
	return r ? CLI_OK : CLI_NOT_FOUND;
}

int platform_check_run(const struct cli_options *o)
{
	struct status st;
	char *text = file_read(o->args[0], &st);
	struct findings f;
	struct manifest *m;
	bool found;

	if (!text) {
		fprintf(stderr, "jackdaw: %s\n", st.msg);
		return CLI_FINDINGS;
	}
	m = config_decode(text, strlen(text));
	free(text);
	if (!m) {
		fprintf(stderr,
			"%s: not a configuration that a node would accept\n",
			o->args[0]);
		return CLI_FINDINGS;
	}
	findings_init(&f);
	config_lint(m, o->args[0], &f);
	found = f.count > 0;
	if (found || o->json)
		findings_show(&f, o->json);
	else
		printf("%s: ok version=%lu\n", o->args[0],
		       (unsigned long)m->version);
	findings_done(&f);
	manifest_delete(m);
	return found ? CLI_FINDINGS : CLI_OK;
}
