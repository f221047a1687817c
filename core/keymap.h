/**
 * The keymap of a service: which upstream owns which keys. It consists of
 * rows, each a range of key numbers with one owner. A row changes its owner
 * only together with a higher fence, a number that lets an upstream reject a
 * grant older than one it has. A handover is a token: an upstream that
 * released a row proves with it to the next owner that it did.
 */
#ifndef JD_CORE_KEYMAP_H
#define JD_CORE_KEYMAP_H

#include "core/list.h"
#include "core/types.h"

#define KEYMAP_KEYS		 65536u
#define KEYMAP_HANDOVER_MAX	 64
/*
 * Rows per upstream in a new keymap. Busy keys are often adjacent, so each
 * upstream gets several ranges spread over the key space.
 */
#define KEYMAP_ROWS_PER_UPSTREAM 16u
/*
 * A new keymap has no more rows than this, or one per upstream: each node keeps
 * all rows, and a keymap is one record of the store.
 */
#define KEYMAP_DEALT_ROWS_MAX	 4096u
/* Balance moves keys only if an upstream has more or less of its share. */
#define KEYMAP_BALANCE_LOW	 0.6
#define KEYMAP_BALANCE_HIGH	 1.25
/* Upstreams that give keys up by one balance, or a quarter if that is more. */
#define KEYMAP_GIVERS_MAX	 16u
/* Ranges of equal length for which keymap_build_index() notes the first row. */
#define KEYMAP_INDEX_RANGES	 1024u

/*
 * Fences given out in an era of the store are above its base: a store that
 * comes back from an older copy has forgotten the last ones before.
 */
#define KEYMAP_FENCE_ERA_BITS 32

static inline uint64_t keymap_fence_base(uint64_t era)
{
	return era << KEYMAP_FENCE_ERA_BITS;
}

/** One lifetime of an upstream, and the node on the same VM. */
struct holder_id {
	char node[JD_NODE_NAME_MAX];
	char instance[JD_INSTANCE_MAX];
	uint64_t born; /* start of the lifetime; 0: not stated */
};

/** A range of keys with one owner. */
struct keyrow {
	struct list link;
	/* In keymap_balance(), or in holder.own_rows for the directory's map.
	 */
	struct list by_owner;
	uint32_t from;
	uint32_t to; /* inclusive */
	uint64_t fence;
	struct holder_id owner;
	char handover[KEYMAP_HANDOVER_MAX]; /* previous owner's, or empty */
	char target[JD_NODE_NAME_MAX]; /* node of the planned owner, or empty */
};

struct keymap {
	char service[JD_NAME_MAX];
	uint64_t fence;	  /* the highest of any row so far */
	struct list rows; /* of struct keyrow, ascending, without gaps */
	/* The row of the first key of each range; not valid if !indexed. */
	struct keyrow *first_rows[KEYMAP_INDEX_RANGES];
	bool indexed;
};

struct keymap *keymap_new(const char *service);
void keymap_delete(struct keymap *m);
struct keymap *keymap_copy(const struct keymap *m);

/** Makes keymap_find() fast, until rows are appended or merged. */
void keymap_build_index(struct keymap *m);

/** Appends a row; the caller keeps the rows ascending. */
struct keyrow *keymap_append_row(struct keymap *m, uint32_t from, uint32_t to);

/** The row of @key; NULL in a map that does not cover it. */
struct keyrow *keymap_find(const struct keymap *m, uint32_t key);

/** True if the rows cover each key once, in order. */
bool keymap_valid(const struct keymap *m);

/** Number of keys and of rows that @id owns. */
uint32_t keymap_keys_of(const struct keymap *m, const struct holder_id *id);
uint32_t keymap_rows_of(const struct keymap *m, const struct holder_id *id);

bool holder_equal(const struct holder_id *a, const struct holder_id *b);

/** Splits @row and returns its second part, which starts at @from. */
struct keyrow *keymap_split(struct keyrow *row, uint32_t from);

/**
 * Makes @to the owner of @row under a new fence and clears the row's target.
 * @handover: the previous owner's proof, empty if there is none.
 */
void keymap_move(struct keymap *m, struct keyrow *row,
		 const struct holder_id *to, const char *handover);

/** The same under @fence, which several rows of one write may share. */
void keymap_assign(struct keyrow *row, const struct holder_id *to,
		   uint64_t fence, const char *handover);

/** Makes all fences that are given out from now on higher than @base. */
void keymap_raise_fence(struct keymap *m, uint64_t base);

/** Gives all rows a new fence; their owners stay, handovers are dropped. */
void keymap_renew_fences(struct keymap *m);

/** Merges adjacent rows with the same owner, fence, handover and target. */
void keymap_merge_rows(struct keymap *m);

/** An upstream that may get keys. */
struct keymap_candidate {
	struct list link;
	struct holder_id id;
	uint32_t weight;       /* relative share of the keys; 0 gets none */
	double keys;	       /* that it owns, counting rows assigned so far */
	struct list rows;      /* of struct keyrow.by_owner, while balancing */
	bool gives;	       /* some of them have got a target */
	struct list in_bucket; /* of the index by id, while rows are counted */
};

struct keymap_candidate *keymap_candidate_new(const struct holder_id *id);

/** Sets the keys of each candidate to the number that it owns in @m. */
void keymap_count_keys(const struct keymap *m, struct list *candidates);

/** How evenly the keys are spread over the candidates. */
struct keymap_spread {
	uint32_t candidates;	  /* with a weight */
	uint32_t without_keys;	  /* of them */
	double busiest_over_mean; /* keys for the weight; 0: no candidate */
	double emptiest_over_mean;
};

/** The spread by the candidates' present number of keys. */
void keymap_measure_spread(const struct list *candidates,
			   struct keymap_spread *s);

/** True if keymap_balance() may have keys to move. */
bool keymap_is_uneven(const struct keymap_spread *s);

/**
 * Distributes all keys of an empty map over the candidates, in rows spread
 * over the key space.
 */
void keymap_deal(struct keymap *m, struct list *candidates);

/** Keys of a row in a keymap dealt to the candidates; 0: there are none. */
uint32_t keymap_dealt_row_keys(const struct list *candidates);

/** The candidate with the fewest keys for its weight; NULL if there is none. */
struct keymap_candidate *keymap_least_loaded(struct list *candidates);

/**
 * Sets targets until no candidate has more than KEYMAP_BALANCE_HIGH or less
 * than KEYMAP_BALANCE_LOW of its share, and splits rows where whole ones would
 * move many more keys than needed. Each owner that gives keys up writes the
 * keymap, so their number is limited: the rest is for a later balance. True if
 * any target was set. Counts the candidates' keys itself. For a map without
 * targets.
 */
bool keymap_balance(struct keymap *m, struct list *candidates);

#endif
