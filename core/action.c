#include "core/action.h"

#include <stdlib.h>

#include "core/mem.h"
#include "core/text.h"

#define LOG_LINE_MAX 1024 /* bytes, with the closing NUL */

void actions_init(struct actions *a)
{
	list_init(&a->items);
}

struct action *actions_add(struct actions *a, enum action_kind kind)
{
	struct action *act = mem_new(struct action);

	act->kind = kind;
	if (kind == ACT_GRANT)
		list_init(&act->u.grant.ranges);
	list_push_back(&a->items, &act->link);
	return act;
}

struct action *actions_pop(struct actions *a)
{
	struct action *act;

	if (list_empty(&a->items))
		return NULL;
	act = list_entry(a->items.next, struct action, link);
	list_remove(&act->link);
	return act;
}

static void free_ranges(struct act_grant *g)
{
	struct grant_range *r, *tmp;

	list_for_each_entry_safe(r, tmp, &g->ranges, link)
		free(r);
}

void action_delete(struct action *a)
{
	switch (a->kind) {
	case ACT_SEND:
		message_delete(a->u.send.message);
		break;
	case ACT_STORE:
		doc_delete(a->u.store.doc);
		break;
	case ACT_REPLY:
		http_answer_delete(a->u.reply.answer);
		break;
	case ACT_UPSTREAM_CALL:
		http_request_unref(a->u.call.request);
		break;
	case ACT_GRANT:
		free_ranges(&a->u.grant);
		break;
	case ACT_LOG:
		free(a->u.log.line);
		break;
	case ACT_UPSTREAM_CANCEL:
	case ACT_EXIT:
		break;
	}
	free(a);
}

void actions_done(struct actions *a)
{
	struct action *act;

	while ((act = actions_pop(a)))
		action_delete(act);
}

void actions_send(struct actions *a, const char *addr, struct message *m)
{
	struct action *act = actions_add(a, ACT_SEND);

	mem_copy_str(act->u.send.addr, addr, sizeof(act->u.send.addr));
	act->u.send.message = m;
}

void actions_log(struct actions *a, enum log_level level, const char *fmt, ...)
{
	struct action *act = actions_add(a, ACT_LOG);
	char line[LOG_LINE_MAX];
	va_list ap;

	va_start(ap, fmt);
	text_vformat(line, sizeof(line), fmt, ap);
	va_end(ap);
	act->u.log.level = level;
	act->u.log.line = text_new("%s", line);
}
