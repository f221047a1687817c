#include "core/replay.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"

#define FORGET_INTERVAL_NS (60 * NS_PER_S)

void replay_init(struct replay *r)
{
	for (int i = 0; i < REPLAY_BUCKETS; i++)
		list_init(&r->buckets[i]);
	r->senders = 0;
	r->next_forget_ns = 0;
}

static void sender_delete(struct replay *r, struct replay_sender *s)
{
	list_remove(&s->link);
	free(s);
	r->senders--;
}

/* Deletes the senders whose forget_ns is at or before @now_ns. */
static void delete_expired(struct replay *r, uint64_t now_ns)
{
	for (int i = 0; i < REPLAY_BUCKETS; i++) {
		struct replay_sender *s, *tmp;

		list_for_each_entry_safe(s, tmp, &r->buckets[i], link)
			if (s->forget_ns <= now_ns)
				sender_delete(r, s);
	}
}

void replay_done(struct replay *r)
{
	delete_expired(r, UINT64_MAX);
}

static struct replay_sender *sender_get(struct replay *r, incarnation_t from)
{
	struct list *bucket = &r->buckets[from % REPLAY_BUCKETS];
	struct replay_sender *s;

	list_for_each_entry(s, bucket, link)
		if (s->from == from)
			return s;
	s = mem_new(struct replay_sender);
	s->from = from;
	list_push_back(bucket, &s->link);
	r->senders++;
	return s;
}

static uint64_t *bitmap_word(struct replay_sender *s, uint64_t sequence)
{
	return &s->seen[sequence % REPLAY_WINDOW / 64];
}

static uint64_t bitmap_bit(uint64_t sequence)
{
	return UINT64_C(1) << (sequence % 64);
}

/* Clears the bits of the numbers between the old highest and the new one. */
static void advance(struct replay_sender *s, uint64_t sequence)
{
	if (sequence - s->highest >= REPLAY_WINDOW) {
		memset(s->seen, 0, sizeof(s->seen));
	} else {
		for (uint64_t q = s->highest + 1; q <= sequence; q++)
			*bitmap_word(s, q) &= ~bitmap_bit(q);
	}
	s->highest = sequence;
}

bool replay_accept(struct replay *r, incarnation_t from, uint64_t sequence,
		   uint64_t now_ns)
{
	struct replay_sender *s;

	if (now_ns >= r->next_forget_ns) {
		r->next_forget_ns = now_ns + FORGET_INTERVAL_NS;
		delete_expired(r, now_ns);
	}
	s = sender_get(r, from);
	s->forget_ns = now_ns + REPLAY_FORGET_NS;
	if (sequence + REPLAY_WINDOW <= s->highest)
		return false;
	if (sequence > s->highest)
		advance(s, sequence);
	else if (*bitmap_word(s, sequence) & bitmap_bit(sequence))
		return false;
	*bitmap_word(s, sequence) |= bitmap_bit(sequence);
	return true;
}
