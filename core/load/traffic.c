#include "core/load/traffic.h"

#include "core/mesh_ctx.h"

static const char *const cause_names[TRAFFIC_COUNT] = {
	[TRAFFIC_REQUEST] = "request", [TRAFFIC_UPLOAD] = "upload",
	[TRAFFIC_REPEAT] = "repeat",   [TRAFFIC_ANSWER] = "answer",
	[TRAFFIC_REFUSAL] = "refusal", [TRAFFIC_LOAD] = "load",
	[TRAFFIC_CHANGES] = "changes", [TRAFFIC_QUOTA] = "quota",
	[TRAFFIC_OTHER] = "other",
};

const char *traffic_cause_name(enum traffic_cause c)
{
	return c < TRAFFIC_COUNT ? cause_names[c] : "?";
}

static enum traffic_cause forward_cause(const struct msg_forward *f)
{
	if (f->attempt > 1)
		return TRAFFIC_REPEAT;
	return f->request && f->request->payload.body_len >= MESH_BULK_BYTES
		       ? TRAFFIC_UPLOAD
		       : TRAFFIC_REQUEST;
}

enum traffic_cause traffic_cause_of(const struct message *m)
{
	switch (m->kind) {
	case MSG_FORWARD:
		return forward_cause(&m->u.forward);
	case MSG_ANSWER:
		return m->u.answer.outcome == OUTCOME_DONE ? TRAFFIC_ANSWER
							   : TRAFFIC_REFUSAL;
	case MSG_LOAD:
		return TRAFFIC_LOAD;
	case MSG_CHANGES:
		return TRAFFIC_CHANGES;
	case MSG_QUOTA_ASK:
	case MSG_QUOTA_GRANT:
		return TRAFFIC_QUOTA;
	default:
		return TRAFFIC_OTHER;
	}
}

void traffic_add(struct traffic *t, const struct message *m, size_t bytes,
		 bool other_region)
{
	enum traffic_cause cause = traffic_cause_of(m);

	t->bytes[cause][other_region] += bytes;
	t->messages[cause][other_region]++;
}
