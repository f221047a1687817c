/**
 * Many shipped cores in one process and virtual time, round one in-memory
 * store: it counts what their control costs. No request, fault or network
 * is modelled; each message and store call just takes a fixed time.
 */
#ifndef JD_FAKES_FLEET_H
#define JD_FAKES_FLEET_H

#include "core/node.h"
#include "fakes/fleet_store.h"

#define FLEET_SLOTS   (1u << 17)
#define FLEET_SLOT_NS (100 * NS_PER_US)

/* Framing, TCP and IP around each message; HTTP and JSON of a store call. */
#define FLEET_MESSAGE_BYTES 60
#define FLEET_STORE_BYTES   250

enum fleet_event_kind { FLEET_TICK, FLEET_MESSAGE, FLEET_CALL, FLEET_ANSWER };

struct fleet_event {
	struct list link; /* in its slot of the wheel */
	enum fleet_event_kind kind;
	uint64_t at_ns;
	uint32_t node;
	union {
		struct {
			unsigned char *data;
			size_t len;
		} message;
		struct act_store call;
		struct ev_store answer;
	} u;
};

struct fleet_counts {
	uint64_t messages;   /* sent */
	uint64_t bytes;	     /* sent and received, with store calls */
	uint64_t sync_bytes; /* of those, the content of MSG_SYNC, sent */
	uint64_t events;     /* handled by cores */
	uint64_t reads;
	uint64_t writes;
	uint64_t watches;
	uint64_t conflicts;
};

struct fleet_node {
	struct node *node; /* NULL: dead */
	struct fleet_event tick;
	uint64_t bytes; /* its share of counts.bytes */
	uint32_t dc;
};

struct fleet_opts {
	uint32_t nodes;
	uint32_t shards;
	uint32_t dcs;		  /* spread over three regions */
	uint64_t start_spread_ns; /* all start within this time */
	uint64_t seed;
};

struct fleet {
	struct fleet_opts opts;
	uint64_t now_ns;
	struct list wheel[FLEET_SLOTS]; /* of struct fleet_event */
	struct list waiting;		/* watches: calls as fleet_event */
	struct fleet_store store;
	struct fleet_node *nodes;
	struct actions out;
	struct fleet_counts counts;
	struct rng rng;
	uint32_t manifests;
};

struct fleet *fleet_new(const struct fleet_opts *o);
void fleet_delete(struct fleet *f);

/** Runs all events up to @until_ns of virtual time. */
void fleet_run(struct fleet *f, uint64_t until_ns);

/** Ends a node without a word. */
void fleet_kill(struct fleet *f, uint32_t node);

/** Writes a new manifest; returns its revision. */
revision_t fleet_write_manifest(struct fleet *f);

/** True when all shards have live owners that all live nodes know. */
bool fleet_converged(const struct fleet *f);

/** True when all live nodes know all documents up to @r. */
bool fleet_has_revision(const struct fleet *f, revision_t r);

#endif
