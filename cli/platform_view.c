#include "cli/platform_view.h"

#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/exit_code.h"
#include "core/directory.h"
#include "core/mem.h"
#include "io/clock.h"
#include "io/file.h"
#include "platform/kv_client.h"
#include "platform/records.h"

#define READ_WAIT_NS (5 * NS_PER_S)

/** One read of all records. */
struct view {
	struct event_base *base;
	struct directory dir;
	enum store_end end;
};

static void on_read(void *arg, struct ev_store_end *e)
{
	struct view *v = arg;
	struct mesh_actions out;

	v->end = e->end;
	mesh_actions_init(&out);
	if (e->end == STORE_DONE)
		directory_apply(&v->dir, &e->records, true, e->revision,
				clock_now_ns(), &out);
	mesh_actions_done(&out);
	event_base_loopbreak(v->base);
}

/* False, with a line on stderr, when the store does not answer. */
static bool view_read(struct view *v, const char *store)
{
	struct act_store_call a = {.op = 1, .kind = CALL_READ_ALL};
	struct kv_client *k;

	v->end = STORE_NO_ANSWER;
	directory_init(&v->dir, "");
	v->base = event_base_new();
	k = kv_client_new(v->base, store, on_read, v);
	list_init(&a.puts);
	a.deadline_ns = clock_now_ns() + READ_WAIT_NS;
	kv_client_call(k, &a);
	event_base_dispatch(v->base);
	kv_client_delete(k);
	event_base_free(v->base);
	if (v->end == STORE_DONE)
		return true;
	fprintf(stderr, "jackdaw: the store at %s did not answer\n", store);
	directory_done(&v->dir);
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

/* Keys whose owner's node has no card: nobody serves them now. */
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

static uint32_t print_keymaps(const struct directory *d)
{
	const struct dir_keymap *k;
	const struct dir_node *n;
	uint32_t lost = 0;

	list_for_each_entry(k, &d->keymaps, link) {
		uint32_t without = keys_without_node(d, k->map);

		lost += without;
		printf("service=%s fence=%lu revision=%lu "
		       "keys_without_node=%u\n",
		       k->map->service, (unsigned long)k->map->fence,
		       (unsigned long)k->revision, without);
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
	return lost;
}

int platform_status_run(const struct cli_options *o)
{
	const struct dir_evacuation *z;
	struct view v;
	uint32_t lost;

	if (!view_read(&v, o->store))
		return CLI_FAILED;
	printf("revision=%lu config=%lu\n", (unsigned long)v.dir.revision,
	       (unsigned long)(v.dir.manifest ? v.dir.manifest->version : 0));
	list_for_each_entry(z, &v.dir.evacuated, link)
		printf("data_centre=%s out=1\n", z->name);
	print_nodes(&v.dir);
	lost = print_keymaps(&v.dir);
	directory_done(&v.dir);
	return lost ? CLI_FINDINGS : CLI_OK;
}

int platform_where_run(const struct cli_options *o)
{
	const struct dir_keymap *k;
	const struct keyrow *r = NULL;
	struct view v;
	char *end;
	unsigned long key = strtoul(o->args[1], &end, 10);

	if (*end || !*o->args[1] || key >= KEYMAP_KEYS) {
		fprintf(stderr, "jackdaw: %s is no key from 0 to %u\n",
			o->args[1], KEYMAP_KEYS - 1);
		return CLI_FINDINGS;
	}
	if (!view_read(&v, o->store))
		return CLI_FAILED;
	k = directory_keymap(&v.dir, o->args[0]);
	if (k)
		r = keymap_find(k->map, (uint32_t)key);
	if (r)
		printf("key=%lu service=%s upstream=%s node=%s fence=%lu "
		       "from=%u to=%u target=%s node_present=%d\n",
		       key, o->args[0], r->owner.instance, r->owner.node,
		       (unsigned long)r->fence, r->from, r->to,
		       r->target[0] ? r->target : "none",
		       directory_node(&v.dir, r->owner.node) != NULL);
	else
		fprintf(stderr, "jackdaw: no keys of a service %s are known\n",
			o->args[0]);
	directory_done(&v.dir);
	return r ? CLI_OK : CLI_NOT_FOUND;
}

int platform_check_run(const struct cli_options *o)
{
	struct status st;
	char *text = file_read(o->args[0], &st);
	struct manifest *m;

	if (!text) {
		fprintf(stderr, "jackdaw: %s\n", st.msg);
		return CLI_FINDINGS;
	}
	m = config_decode(text, strlen(text));
	free(text);
	if (!m) {
		fprintf(stderr, "%s: no configuration that a node would take\n",
			o->args[0]);
		return CLI_FINDINGS;
	}
	printf("%s: ok version=%lu\n", o->args[0], (unsigned long)m->version);
	manifest_delete(m);
	return CLI_OK;
}
