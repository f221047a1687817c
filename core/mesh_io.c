#include "core/mesh_io.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "core/text.h"

#define LOG_LINE_MAX 1024

void held_rows_delete(struct list *rows)
{
	struct held_row *r, *tmp;

	list_for_each_entry_safe(r, tmp, rows, link) {
		list_remove(&r->link);
		free(r);
	}
}

void upstream_announcement_done(struct upstream_announcement *ann)
{
	held_rows_delete(&ann->held);
	held_rows_delete(&ann->released);
	free(ann->long_instance);
}

void mesh_actions_init(struct mesh_actions *a)
{
	list_init(&a->items);
}

struct mesh_action *mesh_actions_add(struct mesh_actions *a,
				     enum mesh_action_kind kind)
{
	struct mesh_action *act = mem_new(struct mesh_action);

	act->kind = kind;
	if (kind == MA_STORE_CALL)
		list_init(&act->u.store.puts);
	if (kind == MA_SEND_ALL)
		list_init(&act->u.send_all.to);
	if (kind == MA_ANNOUNCEMENT_REPLY)
		list_init(&act->u.announcement_reply.rows);
	list_push_back(&a->items, &act->link);
	return act;
}

struct mesh_action *mesh_actions_pop(struct mesh_actions *a)
{
	struct mesh_action *act;

	if (list_empty(&a->items))
		return NULL;
	act = list_entry(a->items.next, struct mesh_action, link);
	list_remove(&act->link);
	return act;
}

static void send_all_done(struct act_send_all *a)
{
	struct send_target *t, *tmp;

	list_for_each_entry_safe(t, tmp, &a->to, link)
		free(t);
	message_delete(a->message);
}

void caller_request_done(struct caller_request *r)
{
	free(r->id);
	free(r->host);
	free(r->api_key);
	http_request_unref(r->request);
}

void mesh_action_delete(struct mesh_action *a)
{
	switch (a->kind) {
	case MA_SEND:
		message_delete(a->u.send.message);
		break;
	case MA_SEND_ALL:
		send_all_done(&a->u.send_all);
		break;
	case MA_STORE_CALL:
		records_delete(&a->u.store.puts);
		break;
	case MA_REPLY:
		http_answer_delete(a->u.reply.answer);
		free(a->u.reply.id);
		break;
	case MA_UPSTREAM_CALL:
		free(a->u.call.instance);
		free(a->u.call.caller_id);
		free(a->u.call.caller_service);
		free(a->u.call.organisation);
		http_request_unref(a->u.call.request);
		break;
	case MA_ANNOUNCEMENT_REPLY:
		held_rows_delete(&a->u.announcement_reply.rows);
		break;
	case MA_LOG:
		free(a->u.log.line);
		break;
	case MA_CANCEL_UPSTREAM_CALL:
	case MA_PROBE_UPSTREAM:
	case MA_LIMITS:
	case MA_FLUSH:
	case MA_EXIT:
		break;
	}
	free(a);
}

void mesh_actions_done(struct mesh_actions *a)
{
	struct mesh_action *act;

	while ((act = mesh_actions_pop(a)))
		mesh_action_delete(act);
}

void mesh_log(struct mesh_actions *a, enum log_level level, const char *fmt,
	      ...)
{
	struct mesh_action *act = mesh_actions_add(a, MA_LOG);
	char line[LOG_LINE_MAX];
	va_list ap;

	va_start(ap, fmt);
	text_vformat(line, sizeof(line), fmt, ap);
	va_end(ap);
	act->u.log.level = level;
	act->u.log.line = text_new("%s", line);
}
