#include "io/status_page.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "core/text.h"

static uint32_t owned(const struct node *n)
{
	const struct doc *d = NULL;
	uint32_t count = 0;

	while ((d = view_next(&n->ctx.view, DOC_MAP, d)))
		for (uint32_t i = 0; i < d->u.map->count; i++)
			count += d->u.map->shards[i].owner == n->ctx.self;
	return count;
}

static revision_t manifest_revision(const struct node *n)
{
	const struct doc *d = view_doc(&n->ctx.view, DOC_MANIFEST, "");

	return d ? d->revision : 0;
}

static char *status_json(const struct node *n)
{
	json_t *o = json_object();
	char *text, *line;
	char inc[24];

	text_format(inc, sizeof(inc), "%016lx", (unsigned long)n->ctx.self);
	json_object_set_new(o, "name", json_string(n->opts.name));
	json_object_set_new(o, "data_centre", json_string(n->opts.dc));
	json_object_set_new(o, "incarnation", json_string(inc));
	json_object_set_new(
		o, "may_serve",
		json_boolean(membership_may_serve(&n->membership, &n->ctx)));
	json_object_set_new(o, "revision",
			    json_integer((json_int_t)n->ctx.view.revision));
	json_object_set_new(o, "manifest_revision",
			    json_integer((json_int_t)manifest_revision(n)));
	json_object_set_new(o, "shards", json_integer(owned(n)));
	json_object_set_new(o, "planner", json_boolean(n->planner.holder));
	json_object_set_new(o, "keeper",
			    json_boolean(keeper_active(&n->keeper)));
	text = json_dumps(o, JSON_COMPACT | JSON_PRESERVE_ORDER);
	json_decref(o);
	line = text_new("%s\n", text);
	free(text);
	return line;
}

/* Appends one row a reason of replies without an answer. */
static char *add_reasons(char *text, const struct node *n)
{
	for (int i = 0; i < REFUSAL_COUNT; i++) {
		char *next =
			text_new("%sjackdaw_reason_total{reason=\"%s\"} %lu\n",
				 text, refusal_find((enum refusal)i)->name,
				 (unsigned long)n->router.reasons[i]);

		free(text);
		text = next;
	}
	return text;
}

static char *metrics_text(const struct node *n, const struct peers_stats *p)
{
	const struct {
		const char *name;
		uint64_t value;
	} rows[] = {
		{"jackdaw_requests_total", n->router.requests},
		{"jackdaw_outcome_done_total",
		 n->router.outcomes[OUTCOME_DONE]},
		{"jackdaw_outcome_not_run_total",
		 n->router.outcomes[OUTCOME_NOT_RUN]},
		{"jackdaw_outcome_unknown_total",
		 n->router.outcomes[OUTCOME_UNKNOWN]},
		{"jackdaw_unmatched_answers_total", n->router.unmatched},
		{"jackdaw_gate_calls_total", n->gate.served},
		{"jackdaw_gate_doubled_total", n->gate.doubled},
		{"jackdaw_gate_running", n->gate.admission.running},
		{"jackdaw_gate_waiting", n->gate.admission.waiting},
		{"jackdaw_peer_messages_sent_total", p->sent},
		{"jackdaw_peer_bytes_sent_total", p->sent_bytes},
		{"jackdaw_peer_messages_received_total", p->received},
		{"jackdaw_peer_bytes_received_total", p->received_bytes},
		{"jackdaw_peer_broken_total", p->broken},
		{"jackdaw_peer_dropped_total", p->dropped},
		{"jackdaw_peer_refused_total", p->refused},
		{"jackdaw_peers_open", p->open},
		{"jackdaw_refused_messages_total", n->refused_messages},
	};
	char *text = text_new("%s", "");

	for (size_t i = 0; i < sizeof(rows) / sizeof(*rows); i++) {
		char *next = text_new("%s%s %lu\n", text, rows[i].name,
				      (unsigned long)rows[i].value);

		free(text);
		text = next;
	}
	return add_reasons(text, n);
}

char *status_page(const struct node *n, const struct peers_stats *p,
		  const char *path)
{
	if (!strcmp(path, "/status"))
		return status_json(n);
	if (!strcmp(path, "/metrics"))
		return metrics_text(n, p);
	return NULL;
}
