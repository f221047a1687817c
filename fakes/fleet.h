/**
 * Simulated fleet: many nodes of the production core in one process, in virtual
 * time, around one in-memory store. It counts the messages, bytes and store
 * calls of their control traffic. Requests, faults and the network are not
 * modelled: each message and store call takes a fixed time.
 */
#ifndef JD_FAKES_FLEET_H
#define JD_FAKES_FLEET_H

#include "core/node.h"
#include "fakes/fleet_store.h"

#define FLEET_WHEEL_SLOTS   (1u << 17)
#define FLEET_WHEEL_SLOT_NS (100 * NS_PER_US)

/*
 * Overhead of framing, TCP and IP for each message, and of HTTP and JSON for
 * each store call and each answer.
 */
#define FLEET_MESSAGE_OVERHEAD_BYTES 60
#define FLEET_STORE_OVERHEAD_BYTES   250

enum fleet_event_kind {
	FLEET_TICK,
	FLEET_MESSAGE,
	FLEET_STORE_CALL,
	FLEET_STORE_ANSWER
};

struct fleet_event {
	struct list link; /* in fleet.wheel or fleet.pending_watches */
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
	uint64_t bytes;	     /* sent and received, store calls included */
	uint64_t sync_bytes; /* MSG_SYNC, as sent, without overhead */
	uint64_t events;     /* handled by cores */
	uint64_t reads;
	uint64_t writes;
	uint64_t watches;
	uint64_t conflicts;
};

struct fleet_node {
	struct node *node; /* NULL once killed */
	struct fleet_event tick;
	uint64_t bytes; /* part of fleet_counts.bytes */
	uint32_t dc;
};

struct fleet_opts {
	uint32_t nodes;
	uint32_t shards;
	uint32_t dcs;		  /* data centres, spread over three regions */
	uint64_t start_spread_ns; /* nodes start at random within it */
	uint64_t seed;
};

struct fleet {
	struct fleet_opts opts;
	uint64_t now_ns;
	/* Lists of struct fleet_event, by the slot of their time. */
	struct list wheel[FLEET_WHEEL_SLOTS];
	struct list pending_watches; /* of struct fleet_event */
	struct fleet_store store;
	struct fleet_node *nodes;
	struct actions out;
	struct fleet_counts counts;
	struct rng rng;
	uint32_t manifests_written;
};

struct fleet *fleet_new(const struct fleet_opts *o);
void fleet_delete(struct fleet *f);

/** Runs all events up to @until_ns of virtual time. */
void fleet_run(struct fleet *f, uint64_t until_ns);

/** Ends a node as in a crash; it sends nothing more. */
void fleet_kill(struct fleet *f, uint32_t node);

/** Writes a new manifest to the store; returns its revision. */
revision_t fleet_write_manifest(struct fleet *f);

/**
 * True when all live nodes are members and hold a shard map in which each shard
 * has a live owner.
 */
bool fleet_converged(const struct fleet *f);

/** True when the view of each live node has reached revision @r. */
bool fleet_has_revision(const struct fleet *f, revision_t r);

#endif
