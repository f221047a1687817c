// A test fixture: a core module's context, and a fake store for its calls.
#ifndef JD_TESTS_CORE_FIXTURE_HPP
#define JD_TESTS_CORE_FIXTURE_HPP

#include "jd_test.hpp"

extern "C" {
#include "core/ctx.h"
#include "core/mem.h"
#include "fakes/doc_store.h"
}

class CoreFixture : public ::testing::Test
{
protected:
	void SetUp() override
	{
		mem_copy_str(opts.name, "n1", sizeof(opts.name));
		mem_copy_str(opts.dc, "a", sizeof(opts.dc));
		mem_copy_str(opts.region, "r", sizeof(opts.region));
		mem_copy_str(opts.peer_addr, "1:1", sizeof(opts.peer_addr));
		opts.timing = timing_default;
		opts.seed = 7;
		ctx_init(&c, &opts);
		actions_init(&out);
		doc_store_init(&store);
		c.out = &out;
		c.now_ns = 100 * NS_PER_S;
	}

	void TearDown() override
	{
		actions_done(&out);
		doc_store_done(&store);
		ctx_done(&c);
	}

	// The next store call, NULL when there is none. Other actions before it
	// are freed, messages among them counted in @sent.
	struct action *next_call()
	{
		while (struct action *a = actions_pop(&out)) {
			if (a->kind == ACT_STORE)
				return a;
			if (a->kind == ACT_SEND)
				sent[a->u.send.message->kind]++;
			action_delete(a);
		}
		return nullptr;
	}

	// Executes the store call @a; the caller frees the documents of @ev.
	void serve(const struct action *a, struct ev_store *ev)
	{
		doc_store_call(&store, &a->u.store, c.now_ns, ev);
	}

	// Executes the store call @a and discards its answer.
	void serve_lost(const struct action *a)
	{
		struct ev_store ev;

		serve(a, &ev);
		docs_delete(&ev.docs);
	}

	// Fills @ev as for a store call that got no answer.
	static void leave_unanswered(const struct action *a,
				     struct ev_store *ev)
	{
		memset(ev, 0, sizeof(*ev));
		ev->op = a->u.store.op;
		ev->status = STATUS_UNKNOWN;
		list_init(&ev->docs);
	}

	// Writes @d over the stored document of its key and frees @d.
	revision_t put(struct doc *d)
	{
		struct doc *old =
			doc_store_read(&store, d->key.kind, d->key.name);
		struct act_store a = {};
		struct ev_store ev;

		a.kind = STORE_CAS;
		a.key = d->key;
		a.revision = old ? old->revision : 0;
		a.doc = d;
		doc_store_call(&store, &a, c.now_ns, &ev);
		docs_delete(&ev.docs);
		doc_delete(d);
		doc_delete(old);
		return store.state.now;
	}

	// Applies all documents of the store to the view.
	void sync()
	{
		struct act_store a = {};
		struct ev_store ev;

		a.kind = STORE_WATCH;
		doc_store_call(&store, &a, c.now_ns, &ev);
		view_sync(&c.view, 0, ev.revision, &ev.docs);
	}

	static struct member *add(struct doc *roster, const char *name,
				  incarnation_t inc, incarnation_t keeper)
	{
		struct member *m = roster_add(roster->u.roster, name, inc);

		m->keeper = keeper;
		m->term = 1;
		mem_copy_str(m->service, "book", sizeof(m->service));
		mem_copy_str(m->peer_addr, "2:2", sizeof(m->peer_addr));
		return m;
	}

	static struct doc *roster(const char *dc)
	{
		struct doc *d = doc_new(DOC_ROSTER, dc);

		d->u.roster = roster_new(dc, "r");
		return d;
	}

	// A copy of the stored entry of @inc; its inc is 0 when there is none.
	struct member entry(const char *dc, incarnation_t inc)
	{
		struct doc *d = doc_store_read(&store, DOC_ROSTER, dc);
		struct member *m = d ? roster_find(d->u.roster, inc) : nullptr;
		struct member copy = {};

		if (m)
			copy = *m;
		doc_delete(d);
		return copy;
	}

	struct node_opts opts = {};
	struct ctx c;
	struct actions out;
	struct doc_store store;
	int sent[MSG_KIND_COUNT] = {};
};

#endif
