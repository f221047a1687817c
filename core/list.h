/** Circular, intrusive doubly linked list: items embed a struct list. */
#ifndef JD_CORE_LIST_H
#define JD_CORE_LIST_H

#include <stdbool.h>
#include <stddef.h>

/** Head of a list, or link of an item. An unlinked one points to itself. */
struct list {
	struct list *next;
	struct list *prev;
};

/** The item of @type whose @member is *@ptr. */
#define list_entry(ptr, type, member)                                          \
	((type *)((char *)(ptr)-offsetof(type, member)))

#define list_for_each_entry(pos, head, member)                                 \
	for (pos = list_entry((head)->next, __typeof__(*pos), member);         \
	     &pos->member != (head);                                           \
	     pos = list_entry(pos->member.next, __typeof__(*pos), member))

/** Like list_for_each_entry, but @pos may be removed in the body. */
#define list_for_each_entry_safe(pos, tmp, head, member)                       \
	for (pos = list_entry((head)->next, __typeof__(*pos), member),         \
	    tmp = list_entry(pos->member.next, __typeof__(*pos), member);      \
	     &pos->member != (head); pos = tmp,                                \
	    tmp = list_entry(tmp->member.next, __typeof__(*tmp), member))

static inline void list_init(struct list *l)
{
	l->next = l;
	l->prev = l;
}

static inline bool list_empty(const struct list *l)
{
	return l->next == l;
}

static inline void list_insert_before(struct list *pos, struct list *item)
{
	item->next = pos;
	item->prev = pos->prev;
	pos->prev->next = item;
	pos->prev = item;
}

static inline void list_push_back(struct list *head, struct list *item)
{
	list_insert_before(head, item);
}

static inline void list_push_front(struct list *head, struct list *item)
{
	list_insert_before(head->next, item);
}

/** Unlinks @item; does nothing if it is not linked. */
static inline void list_remove(struct list *item)
{
	item->prev->next = item->next;
	item->next->prev = item->prev;
	list_init(item);
}

/** Moves all items of @from to the end of @to. */
static inline void list_splice_back(struct list *to, struct list *from)
{
	if (list_empty(from))
		return;
	from->next->prev = to->prev;
	to->prev->next = from->next;
	from->prev->next = to;
	to->prev = from->prev;
	list_init(from);
}

#endif
