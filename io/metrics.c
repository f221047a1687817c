#include "io/metrics.h"

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/text.h"

enum metric_type { METRIC_COUNTER, METRIC_GAUGE };

enum metric_source { SOURCE_ROUTER, SOURCE_GATE, SOURCE_NODE, SOURCE_PEERS };

struct metric {
	const char *name;
	const char *help;
	enum metric_type type;
	enum metric_source source;
	size_t offset; /* of an unsigned integer in the source's struct */
	size_t size;   /* of that integer: 4 or 8 */
};

#define MEMBER(type, member)                                                   \
	offsetof(struct type, member), sizeof(((struct type *)0)->member)

static const struct metric metrics[] = {
	{"jackdaw_requests_total", "Requests of callers.", METRIC_COUNTER,
	 SOURCE_ROUTER, MEMBER(router, requests)},
	{"jackdaw_outcome_done_total", "Requests that ended in an answer.",
	 METRIC_COUNTER, SOURCE_ROUTER, MEMBER(router, outcomes[OUTCOME_DONE])},
	{"jackdaw_outcome_not_run_total",
	 "Requests refused that provably did not run.", METRIC_COUNTER,
	 SOURCE_ROUTER, MEMBER(router, outcomes[OUTCOME_NOT_RUN])},
	{"jackdaw_outcome_unknown_total",
	 "Requests that may or may not have run.", METRIC_COUNTER,
	 SOURCE_ROUTER, MEMBER(router, outcomes[OUTCOME_UNKNOWN])},
	{"jackdaw_unmatched_answers_total",
	 "Answers to nothing that was waited for.", METRIC_COUNTER,
	 SOURCE_ROUTER, MEMBER(router, unmatched)},
	{"jackdaw_entries", "Requests of callers that wait for their end.",
	 METRIC_GAUGE, SOURCE_ROUTER, MEMBER(router, count)},
	{"jackdaw_burn_forgotten_total",
	 "Series of the burn report dropped for want of room.", METRIC_COUNTER,
	 SOURCE_ROUTER, MEMBER(router, burn.forgotten)},
	{"jackdaw_gate_calls_total", "Calls to the own upstream that ended.",
	 METRIC_COUNTER, SOURCE_GATE, MEMBER(gate, served)},
	{"jackdaw_gate_doubled_total", "Attempts seen before, not run again.",
	 METRIC_COUNTER, SOURCE_GATE, MEMBER(gate, doubled)},
	{"jackdaw_gate_running", "Calls that run at the own upstream.",
	 METRIC_GAUGE, SOURCE_GATE, MEMBER(gate, admission.running)},
	{"jackdaw_gate_waiting", "Calls that wait for a slot.", METRIC_GAUGE,
	 SOURCE_GATE, MEMBER(gate, admission.waiting)},
	{"jackdaw_admission_refused_total",
	 "Calls that the own upstream's queue refused.", METRIC_COUNTER,
	 SOURCE_GATE, MEMBER(gate, admission.refused)},
	{"jackdaw_limiter_cuts_total", "Cuts of the own upstream's limit.",
	 METRIC_COUNTER, SOURCE_GATE, MEMBER(gate, admission.limiter.cuts)},
	{"jackdaw_limiter_cold_starts_total",
	 "Cold starts of the own upstream.", METRIC_COUNTER, SOURCE_GATE,
	 MEMBER(gate, admission.limiter.cold_starts)},
	{"jackdaw_manifest_revision", "Revision of the manifest in force here.",
	 METRIC_GAUGE, SOURCE_NODE, MEMBER(node, manifest_revision)},
	{"jackdaw_revision", "All documents up to here are known.",
	 METRIC_GAUGE, SOURCE_NODE, MEMBER(node, ctx.view.revision)},
	{"jackdaw_refused_messages_total",
	 "Messages of nodes that were not for this one.", METRIC_COUNTER,
	 SOURCE_NODE, MEMBER(node, refused_messages)},
	{"jackdaw_peer_messages_sent_total", "Messages to nodes.",
	 METRIC_COUNTER, SOURCE_PEERS, MEMBER(peers_stats, sent)},
	{"jackdaw_peer_bytes_sent_total", "Bytes to nodes.", METRIC_COUNTER,
	 SOURCE_PEERS, MEMBER(peers_stats, sent_bytes)},
	{"jackdaw_peer_messages_received_total", "Messages of nodes.",
	 METRIC_COUNTER, SOURCE_PEERS, MEMBER(peers_stats, received)},
	{"jackdaw_peer_bytes_received_total", "Bytes of nodes.", METRIC_COUNTER,
	 SOURCE_PEERS, MEMBER(peers_stats, received_bytes)},
	{"jackdaw_peer_broken_total", "Messages that could not be read.",
	 METRIC_COUNTER, SOURCE_PEERS, MEMBER(peers_stats, broken)},
	{"jackdaw_peer_dropped_total", "Messages that could not be sent.",
	 METRIC_COUNTER, SOURCE_PEERS, MEMBER(peers_stats, dropped)},
	{"jackdaw_peer_refused_total", "Connections refused for their key.",
	 METRIC_COUNTER, SOURCE_PEERS, MEMBER(peers_stats, refused)},
	{"jackdaw_peers_open", "Nodes that a connection is kept to.",
	 METRIC_GAUGE, SOURCE_PEERS, MEMBER(peers_stats, open)},
};

static const char *const type_names[] = {
	[METRIC_COUNTER] = "counter",
	[METRIC_GAUGE] = "gauge",
};

static uint64_t metric_value(const struct metric *m, const struct node *n,
			     const struct peers_stats *p)
{
	const char *base = NULL;
	uint64_t value_64 = 0;
	uint32_t value_32 = 0;

	switch (m->source) {
	case SOURCE_ROUTER:
		base = (const char *)&n->router;
		break;
	case SOURCE_GATE:
		base = (const char *)&n->gate;
		break;
	case SOURCE_NODE:
		base = (const char *)n;
		break;
	case SOURCE_PEERS:
		base = (const char *)p;
		break;
	}
	if (m->size == sizeof(value_64)) {
		memcpy(&value_64, base + m->offset, sizeof(value_64));
		return value_64;
	}
	memcpy(&value_32, base + m->offset, sizeof(value_32));
	return value_32;
}

static void print_header(FILE *out, const char *name, const char *help,
			 enum metric_type type)
{
	fprintf(out, "# HELP %s %s\n# TYPE %s %s\n", name, help, name,
		type_names[type]);
}

/* One sample for each reason, labelled with the refusal's name. */
static void print_reasons(FILE *out, const struct node *n)
{
	print_header(out, "jackdaw_reason_total",
		     "Replies without an answer, by reason.", METRIC_COUNTER);
	for (int i = 0; i < REFUSAL_COUNT; i++)
		fprintf(out, "jackdaw_reason_total{reason=\"%s\"} %lu\n",
			refusal_find((enum refusal)i)->name,
			(unsigned long)n->router.reasons[i]);
}

char *metrics_page(const struct node *n, const struct peers_stats *p)
{
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);

	if (!out)
		return text_new("%s", "");
	for (size_t i = 0; i < sizeof(metrics) / sizeof(*metrics); i++) {
		const struct metric *m = &metrics[i];

		print_header(out, m->name, m->help, m->type);
		fprintf(out, "%s %lu\n", m->name,
			(unsigned long)metric_value(m, n, p));
	}
	print_reasons(out, n);
	fclose(out);
	return text;
}
