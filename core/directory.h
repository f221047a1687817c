/**
 * What a node of a leased fleet knows of the others: the store's records,
 * and the load that each gate reports.
 */
#ifndef JD_CORE_DIRECTORY_H
#define JD_CORE_DIRECTORY_H

#include "core/mesh_io.h"

/* A gate that has said nothing for as long takes no requests, at least. */
#define DIR_SILENT_NS	     (1200 * NS_PER_MS)
/* And for so many times the span between two reports. */
#define DIR_SILENT_REPORTS   5
/* The same for other regions, in spans of the rounds that they get. */
#define DIR_SILENT_FAR	     3
/* One that was asked and has not answered within that time is lost. */
#define DIR_PROBE_TIMEOUT_NS (900 * NS_PER_MS)

/**
 * Estimates how long a message was on its way: two clocks differ by a
 * constant, so the least difference seen stands for an undelayed message.
 */
struct peer_clock {
	int64_t least;	    /* receiver's minus sender's clock */
	int64_t least_next; /* of the window that replaces it */
	uint64_t window_end_ns;
};

/** Delay of a message sent at @sent_ns, beyond that of the fastest one. */
uint64_t peer_clock_delay_ns(struct peer_clock *pc, uint64_t sent_ns,
			     uint64_t now_ns);

struct dir_node {
	struct list link;
	char name[JD_NODE_NAME_MAX];
	uint32_t name_hash;
	struct node_card card; /* the newest known */
	revision_t revision;   /* of the card; 0: the store has none */
	revision_t gone;       /* known to have had none at that revision */
	uint64_t absent_ns;    /* since then, when it has none */
	uint64_t heard_ns;     /* its last report or answer; 0: none yet */
	uint64_t load_sent_ns; /* it got our load, by report or answer */
	uint64_t probed_ns;    /* it was asked for a report; 0: never */
	bool to_ask;	       /* it owes an answer and is silent */
	bool asks_us;	       /* it wants a report at once */
	bool watches;	       /* it follows the store and tells others */
	uint64_t boot;	       /* of the process that was heard */
	bool leaving;	       /* that process ends soon */
	struct peer_clock clock;
	struct gate_load load;
	uint32_t sent;	 /* requests of ours since it last told its load */
	double failures; /* share of requests that it failed, moving average */
	uint64_t avoid_ns; /* refused one of ours: not before */
};

struct dir_keymap {
	struct list link;
	revision_t revision;
	struct keymap *map;
};

struct dir_evacuation {
	struct list link;
	char name[JD_NODE_NAME_MAX];
};

struct directory {
	bool loaded;	     /* all records were read once */
	revision_t revision; /* every record up to here is known */
	struct manifest *manifest;
	revision_t manifest_revision;
	struct list nodes;	  /* of struct dir_node */
	struct list keymaps;	  /* of struct dir_keymap */
	struct list evacuated;	  /* of struct dir_evacuation */
	char region[JD_NAME_MAX]; /* of this node */
	bool asks;		  /* some node's to_ask or asks_us is set */
	uint64_t report_ns;	  /* span between two rounds of load reports */
	uint32_t far_rounds; /* other regions are told each so many rounds */
	uint64_t changes;    /* rises with each change of any record */
};

void directory_init(struct directory *d, const char *region);
void directory_done(struct directory *d);

/**
 * Takes what a read of all records found (@whole: what it lacks is gone) or
 * what a watch reported. Older records change nothing.
 */
void directory_apply(struct directory *d, struct list *records, bool whole,
		     revision_t revision, uint64_t now_ns,
		     struct mesh_actions *out);

/**
 * Takes a read of all cards and keymaps: a card that it lacks is gone. It
 * does not show what else has changed, so the revision stays.
 */
void directory_apply_partial(struct directory *d, struct list *records,
			     revision_t revision, uint64_t now_ns,
			     struct mesh_actions *out);

struct dir_node *directory_node(const struct directory *d, const char *name);
struct dir_node *directory_by_boot(const struct directory *d, uint64_t boot);
const struct dir_keymap *directory_keymap(const struct directory *d,
					  const char *service);
bool directory_dc_evacuated(const struct directory *d, const char *dc);

/** Takes a load report; @from is the boot of its sender. */
struct dir_node *directory_on_load_report(struct directory *d, uint64_t from,
					  const struct msg_load *l,
					  uint64_t now_ns);

/** True for a node of this node's region. */
bool directory_same_region(const struct directory *d, const struct dir_node *n);

/** Silence after which a node is taken to be lost, when nobody asks it. */
uint64_t directory_silent_ns(const struct directory *d,
			     const struct dir_node *n);

/** True when it was heard lately, and answered when it was asked. */
bool directory_node_alive(const struct directory *d, const struct dir_node *n,
			  uint64_t now_ns);

/** True when its gate was heard lately and takes requests. */
bool directory_usable(const struct directory *d, const struct dir_node *n,
		      uint64_t now_ns);

/** Appends the upstreams of @service that may get keys. */
void directory_candidates(const struct directory *d, const char *service,
			  uint64_t now_ns, struct list *candidates);
void candidates_delete(struct list *candidates);

#endif
