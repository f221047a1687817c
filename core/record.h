/** The records of a leased fleet in the store, as a tagged union. */
#ifndef JD_CORE_RECORD_H
#define JD_CORE_RECORD_H

#include "core/keymap.h"
#include "core/list.h"
#include "core/manifest.h"
#include "core/types.h"

/** What a node says of itself in the store, under its lease. */
struct node_card {
	char node[JD_NODE_NAME_MAX];
	char peer_addr[JD_ADDR_MAX];
	char dc[JD_NAME_MAX];
	char region[JD_NAME_MAX];
	uint64_t boot; /* random, new at each start of the process */
	/* The upstream beside it; instance empty: none is known. */
	char service[JD_NAME_MAX];
	struct holder_id upstream;
	uint32_t slots;
	bool draining;
};

enum record_kind {
	RECORD_MANIFEST,   /* the operators' configuration; one */
	RECORD_EVACUATION, /* a data centre that is to get no work; by name */
	RECORD_CARD,	   /* by the node's name */
	RECORD_KEYMAP,	   /* by the service's name */
	RECORD_KIND_COUNT,
};

/** One item of the store, decoded. */
struct record {
	struct list link;
	enum record_kind kind;
	char name[JD_NODE_NAME_MAX];
	revision_t revision;
	bool removed;
	bool broken; /* its bytes are none of ours; it changes nothing */
	union {
		struct manifest *manifest; /* NULL: to be read at the store */
		struct node_card card;
		struct keymap *keymap;
	} u;
};

struct record *record_new(enum record_kind kind, const char *name);
/** A copy for another node: all but a manifest's content. */
struct record *record_copy(const struct record *r);
void record_delete(struct record *r);
void records_delete(struct list *records);

#endif
