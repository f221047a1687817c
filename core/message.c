#include "core/message.h"

#include <stdlib.h>

#include "core/mem.h"

static const char *const message_names[MSG_KIND_COUNT] = {
	[MSG_HEARTBEAT] = "heartbeat", [MSG_HEARTBEAT_ACK] = "heartbeat_ack",
	[MSG_ADOPT] = "adopt",	       [MSG_SYNC] = "sync",
	[MSG_RELEASE] = "release",     [MSG_HOT_KEYS] = "hot_keys",
	[MSG_FORWARD] = "forward",     [MSG_ANSWER] = "answer",
	[MSG_CANCEL] = "cancel",       [MSG_LOAD] = "load",
	[MSG_RENEW] = "renew",	       [MSG_RENEWED] = "renewed",
	[MSG_CHANGES] = "changes",     [MSG_MANIFEST_GET] = "manifest_get",
	[MSG_QUOTA_ASK] = "quota_ask", [MSG_QUOTA_GRANT] = "quota_grant",
};

static const char *const outcome_names[OUTCOME_COUNT] = {
	[OUTCOME_DONE] = "done",
	[OUTCOME_NOT_RUN] = "not_run",
	[OUTCOME_UNKNOWN] = "unknown",
};

struct message *message_new(enum message_kind kind)
{
	struct message *m = mem_new(struct message);

	m->kind = kind;
	list_init(&m->link);
	if (kind == MSG_SYNC) {
		list_init(&m->u.sync.docs);
		list_init(&m->u.sync.deltas);
	}
	if (kind == MSG_CHANGES)
		list_init(&m->u.changes.records);
	return m;
}

void message_delete(struct message *m)
{
	if (!m)
		return;
	switch (m->kind) {
	case MSG_SYNC:
		docs_delete(&m->u.sync.docs);
		doc_deltas_delete(&m->u.sync.deltas);
		break;
	case MSG_RELEASE:
		free(m->u.release.shards);
		free(m->u.release.epochs);
		break;
	case MSG_FORWARD:
		free(m->u.forward.organisation);
		free(m->u.forward.caller_id);
		free(m->u.forward.caller_service);
		http_request_unref(m->u.forward.request);
		break;
	case MSG_ANSWER:
		http_answer_delete(m->u.answer.answer);
		break;
	case MSG_CHANGES:
		records_delete(&m->u.changes.records);
		break;
	case MSG_HEARTBEAT:
	case MSG_HEARTBEAT_ACK:
	case MSG_ADOPT:
	case MSG_CANCEL:
	case MSG_HOT_KEYS:
	case MSG_LOAD:
	case MSG_RENEW:
	case MSG_RENEWED:
	case MSG_MANIFEST_GET:
	case MSG_QUOTA_ASK:
	case MSG_QUOTA_GRANT:
	case MSG_KIND_COUNT:
		break;
	}
	free(m);
}

static bool cancels(const struct message *cancel, const struct message *m)
{
	return m->kind == MSG_FORWARD && m->from == cancel->from &&
	       m->u.forward.attempt == cancel->u.cancel.attempt &&
	       request_id_equal(m->u.forward.id, cancel->u.cancel.id);
}

static struct message *find_cancelled(const struct list *batch,
				      const struct message *cancel)
{
	struct message *m;

	list_for_each_entry(m, batch, link) {
		if (m == cancel)
			return NULL;
		if (cancels(cancel, m))
			return m;
	}
	return NULL;
}

uint32_t messages_drop_cancelled(struct list *batch)
{
	struct message *m, *tmp;
	uint32_t dropped = 0;

	list_for_each_entry_safe(m, tmp, batch, link) {
		struct message *forward =
			m->kind == MSG_CANCEL ? find_cancelled(batch, m) : NULL;

		if (!forward)
			continue;
		list_remove(&forward->link);
		message_delete(forward);
		list_remove(&m->link);
		message_delete(m);
		dropped++;
	}
	return dropped;
}

const char *message_name(enum message_kind kind)
{
	return kind < MSG_KIND_COUNT ? message_names[kind] : "?";
}

const char *outcome_name(enum outcome o)
{
	return o < OUTCOME_COUNT ? outcome_names[o] : "?";
}

bool message_drop_invalid_answer(struct msg_answer *a)
{
	if (a->outcome != OUTCOME_DONE ||
	    (a->answer && http_answer_is_valid(a->answer)))
		return false;
	http_answer_delete(a->answer);
	a->answer = NULL;
	a->outcome = OUTCOME_UNKNOWN;
	a->refusal = REFUSAL_CONNECTION_LOST;
	return true;
}
