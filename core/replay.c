#include "core/replay.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"

#define SWEEP_NS (60 * NS_PER_S)

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

/* Deletes the senders to be forgotten at @now_ns. */
static void forget(struct replay *r, uint64_t now_ns)
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
	forget(r, UINT64_MAX);
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

static uint64_t *word(struct replay_sender *s, uint64_t sequence)
{
	return &s->seen[sequence % REPLAY_WINDOW / 64];
}

static uint64_t bit(uint64_t sequence)
{
	return UINT64_C(1) << (sequence % 64);
}

/* The numbers between the old highest and the new one are unseen yet. */
static void advance(struct replay_sender *s, uint64_t sequence)
{
	if (sequence - s->highest >= REPLAY_WINDOW) {
		memset(s->seen, 0, sizeof(s->seen));
	} else {
		for (uint64_t q = s->highest + 1; q <= sequence; q++)
			*word(s, q) &= ~bit(q);
	}
	s->highest = sequence;
}

bool replay_accept(struct replay *r, incarnation_t from, uint64_t sequence,
		   uint64_t now_ns)
{
	struct replay_sender *s;

	if (now_ns >= r->next_forget_ns) {
		r->next_forget_ns = now_ns + SWEEP_NS;
		forget(r, now_ns);
	}
	s = sender_get(r, from);
	s->forget_ns = now_ns + REPLAY_FORGET_NS;
	if (sequence + REPLAY_WINDOW <= s->highest)
		return false;
	if (sequence > s->highest)
		advance(s, sequence);
	else if (*word(s, sequence) & bit(sequence))
		return false;
	*word(s, sequence) |= bit(sequence);
	return true;
}
