#include "core/mesh_ctx.h"

#include "core/invariant.h"
#include "core/mem.h"

/* Deadline of a store call; the store normally answers within milliseconds. */
#define STORE_CALL_NS (900 * NS_PER_MS)

struct act_send *mesh_send(struct mesh_ctx *c, uint64_t to, const char *addr,
			   struct message *m)
{
	struct act_send *s = &mesh_actions_add(c->out, MA_SEND)->u.send;
	const struct dir_node *n = directory_by_boot(&c->dir, to);

	s->same_region = n && directory_same_region(&c->dir, n);
	m->from = c->opts->boot;
	m->to = to;
	mem_copy_str(s->addr, addr, sizeof(s->addr));
	s->message = m;
	return s;
}

struct act_send_all *mesh_send_all(struct mesh_ctx *c, struct message *m)
{
	struct act_send_all *a =
		&mesh_actions_add(c->out, MA_SEND_ALL)->u.send_all;

	m->from = c->opts->boot;
	m->to = 0;
	a->message = m;
	return a;
}

void mesh_add_target(struct act_send_all *a, const struct dir_node *n)
{
	struct send_target *t = mem_new(struct send_target);

	mem_copy_str(t->addr, n->card.peer_addr, sizeof(t->addr));
	list_push_back(&a->to, &t->link);
}

struct act_store_call *mesh_store_call(struct mesh_ctx *c,
				       enum store_call_kind kind)
{
	struct act_store_call *a =
		&mesh_actions_add(c->out, MA_STORE_CALL)->u.store;

	a->op = ++c->next_op;
	a->kind = kind;
	a->deadline_ns = c->now_ns + STORE_CALL_NS;
	c->notes[a->op % MESH_CALLS_NOTED] = (struct store_call_note){
		.op = a->op, .kind = kind, .sent_ns = c->now_ns};
	return a;
}

const struct store_call_note *mesh_call_note(const struct mesh_ctx *c,
					     uint64_t op)
{
	const struct store_call_note *n = &c->notes[op % MESH_CALLS_NOTED];

	return op && n->op == op ? n : NULL;
}

const char *store_call_name(enum store_call_kind kind)
{
	static const char *const names[] = {
		[CALL_READ_ALL] = "read_all",
		[CALL_READ_OWN] = "read_own",
		[CALL_READ_MANIFEST] = "read_manifest",
		[CALL_WATCH_ALL] = "watch",
		[CALL_WRITE] = "write",
		[CALL_LEASE_NEW] = "lease_new",
		[CALL_LEASE_KEEP] = "lease_keep",
		[CALL_LEASE_END] = "lease_end",
	};

	return names[kind];
}

void mesh_expect_revision(struct act_store_call *a, enum record_kind kind,
			  const char *name, revision_t revision)
{
	struct store_expect *e = &a->expect[a->expect_count++];

	JD_INVARIANT(a->expect_count <= STORE_EXPECT_MAX, "count=%u",
		     a->expect_count);
	e->kind = kind;
	mem_copy_str(e->name, name, sizeof(e->name));
	e->revision = revision;
}
