/**
 * Which upstream holds which keys of a service: rows of key numbers, each
 * with one owner. A row changes its owner only together with a higher fence.
 */
#ifndef JD_CORE_KEYMAP_H
#define JD_CORE_KEYMAP_H

#include "core/list.h"
#include "core/types.h"

#define KEYMAP_KEYS		 65536u
#define KEYMAP_HANDOVER_MAX	 64
/* Rows of one upstream: they are spread, as busy keys lie together. */
#define KEYMAP_ROWS_PER_UPSTREAM 16u

/** One lifetime of an upstream and the node beside it. */
struct holder_id {
	char node[JD_NODE_NAME_MAX];
	char instance[JD_INSTANCE_MAX];
	uint64_t born; /* start of that lifetime; 0: not stated */
};

struct keyrow {
	struct list link;
	uint32_t from;
	uint32_t to; /* inclusive */
	uint64_t fence;
	struct holder_id owner;
	char handover[KEYMAP_HANDOVER_MAX]; /* of the last owner, or empty */
	char target[JD_NODE_NAME_MAX];	    /* planned owner, or empty */
};

struct keymap {
	char service[JD_NAME_MAX];
	uint64_t fence;	  /* the highest given out */
	struct list rows; /* of struct keyrow, ascending, without gaps */
};

struct keymap *keymap_new(const char *service);
void keymap_delete(struct keymap *m);
struct keymap *keymap_copy(const struct keymap *m);

/** Appends a row; the caller keeps them ascending. */
struct keyrow *keymap_append_row(struct keymap *m, uint32_t from, uint32_t to);

/** The row of @key; NULL in a map that does not cover it. */
struct keyrow *keymap_find(const struct keymap *m, uint32_t key);

/** True when the rows cover each key once, in order. */
bool keymap_valid(const struct keymap *m);

/** Keys and rows that @id holds. */
uint32_t keymap_keys_of(const struct keymap *m, const struct holder_id *id);
uint32_t keymap_rows_of(const struct keymap *m, const struct holder_id *id);

bool holder_equal(const struct holder_id *a, const struct holder_id *b);

/** Splits @row so that a new row after it starts at @from. */
struct keyrow *keymap_split(struct keyrow *row, uint32_t from);

/** Gives @row to @to under a new fence. */
void keymap_move(struct keymap *m, struct keyrow *row,
		 const struct holder_id *to, const char *handover);

/** Joins neighbours that have owner, fence, handover and target in common. */
void keymap_merge_rows(struct keymap *m);

/** An upstream that may get keys. */
struct keymap_candidate {
	struct list link;
	struct holder_id id;
	uint32_t weight; /* share of the keys; 0 gets none */
	double keys;	 /* it has, kept up to date while rows are given */
};

/** Deals all keys of an empty map to the candidates, in spread rows. */
void keymap_deal(struct keymap *m, struct list *candidates);

/** The candidate with the fewest keys for its weight; NULL for none. */
struct keymap_candidate *keymap_least_loaded(struct list *candidates);

/**
 * Sets targets so that each candidate comes to its share; true if any was
 * set. Rows on their way are left alone.
 */
bool keymap_balance(struct keymap *m, struct list *candidates);

#endif
