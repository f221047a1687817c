/** The records that a leased fleet keeps in the store, as a tagged union. */
#ifndef JD_CORE_RECORD_H
#define JD_CORE_RECORD_H

#include "core/keymap.h"
#include "core/list.h"
#include "core/manifest.h"
#include "core/manifest_delta.h"
#include "core/types.h"

/**
 * A node's registration: a record that the node writes under its lease, so the
 * store deletes it when the lease ends.
 */
struct node_card {
	char node[JD_NODE_NAME_MAX];
	char peer_addr[JD_ADDR_MAX];
	char dc[JD_NAME_MAX];
	char region[JD_NAME_MAX];
	uint64_t boot; /* random, new at each start of the process */
	/* The upstream on the same VM; empty instance: none is known. */
	char service[JD_NAME_MAX];
	struct holder_id upstream;
	uint32_t slots;
	bool draining;
};

enum record_kind {
	RECORD_MANIFEST,   /* the operators' configuration; one */
	RECORD_EVACUATION, /* a data centre that gets no work; by its name */
	RECORD_CARD,	   /* by the node's name */
	RECORD_KEYMAP,	   /* by the service's name */
	RECORD_KIND_COUNT,
};

/** One decoded item of the store. */
struct record {
	struct list link;
	enum record_kind kind;
	char name[JD_NODE_NAME_MAX];
	revision_t revision;
	bool removed; /* deleted at @revision */
	bool invalid; /* its bytes could not be decoded; it is ignored */
	/* Of a manifest that another node has sent; NULL: none. */
	struct manifest_delta *delta;
	/*
	 * Of a keymap that another node has sent: it is a delta to the keymap
	 * of this revision or a later one (core/keymap_delta.h), and the digest
	 * of the result. 0: it is complete.
	 */
	revision_t keymap_base;
	uint64_t keymap_digest;
	union {
		/* NULL: not included, see record_copy() */
		struct manifest *manifest;
		struct node_card card;
		struct keymap *keymap;
	} u;
};

struct record *record_new(enum record_kind kind, const char *name);
/**
 * A copy to send to another node. Of a manifest it has the delta only: without
 * one the receiver reads the document from the store.
 */
struct record *record_copy(const struct record *r);
void record_delete(struct record *r);
void records_delete(struct list *records);

#endif
