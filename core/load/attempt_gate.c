#include "core/load/attempt_gate.h"

/* A gate that has an attempt and is silent for this time is probed. */
#define PROBE_AFTER_NS (500 * NS_PER_MS)

bool attempt_gate_lost(const struct mesh_ctx *c,
		       const struct pending_request *p)
{
	const struct dir_node *n = directory_node(&c->dir, p->gate_node);
	uint64_t silent_since_ns =
		n && n->heard_ns > p->sent_ns ? n->heard_ns : p->sent_ns;

	if (p->state != PENDING_SENT || p->gate_boot == c->opts->boot)
		return false;
	if (!n || n->boot != p->gate_boot)
		return true;
	/* It has not answered a probe in time; one before @p says nothing. */
	if (n->probed_ns > silent_since_ns &&
	    c->now_ns > n->probed_ns + DIR_PROBE_TIMEOUT_NS)
		return true;
	return c->now_ns >
	       silent_since_ns + directory_silence_limit_ns(&c->dir, n);
}

bool attempt_gate_gone(const struct mesh_ctx *c,
		       const struct pending_request *p)
{
	const struct dir_node *n = directory_node(&c->dir, p->gate_node);

	return !n || n->boot != p->gate_boot || !n->revision;
}

void attempt_probe_gate(struct mesh_ctx *c, const struct pending_request *p)
{
	struct dir_node *n;

	if (p->state != PENDING_SENT || p->gate_boot == c->opts->boot ||
	    c->now_ns < p->sent_ns + PROBE_AFTER_NS)
		return;
	n = directory_node(&c->dir, p->gate_node);
	if (n && n->boot == p->gate_boot &&
	    c->now_ns > n->heard_ns + PROBE_AFTER_NS &&
	    (n->probed_ns <= n->heard_ns || n->probed_ns <= p->sent_ns)) {
		n->probe_due = true;
		c->dir.urgent_reports = true;
	}
}
