/**
 * What a node of a leased fleet knows of the fleet: the records of the store,
 * and the load reports of the other nodes' gates. A gate is the admission queue
 * in front of a node's own upstream (core/gatekeeper.h).
 */
#ifndef JD_CORE_DIRECTORY_H
#define JD_CORE_DIRECTORY_H

#include "core/load/even.h"
#include "core/load/throttle.h"
#include "core/mesh_io.h"

/*
 * A node is taken to be lost, and its gate gets no requests, when it has sent
 * nothing for DIR_SILENCE_REPORTS report intervals (a node of another region:
 * for DIR_SILENCE_FAR_REPORTS of its longer intervals), and for no less than
 * DIR_SILENCE_MIN_NS.
 */
#define DIR_SILENCE_MIN_NS	(1200 * NS_PER_MS)
#define DIR_SILENCE_REPORTS	5
#define DIR_SILENCE_FAR_REPORTS 3
/* A node that does not answer a probe within this time is taken to be lost. */
#define DIR_PROBE_TIMEOUT_NS	(900 * NS_PER_MS)

#define DIR_BUCKETS    256
/* Share of an upstream of mean capacity, or of unknown one. */
#define KEY_SHARE_UNIT 64u

/**
 * Estimates how long messages of one sender were under way, without a common
 * clock: the smallest clock difference seen belongs to an undelayed message,
 * as two clocks differ by an almost constant offset.
 */
struct peer_clock {
	int64_t min_diff_ns;	  /* receiver's minus sender's clock */
	int64_t next_min_diff_ns; /* minimum of the present window only */
	uint64_t window_end_ns; /* then next_min_diff_ns replaces min_diff_ns */
};

/**
 * Returns how much longer than the fastest message one took that was sent at
 * @sent_ns of the sender's clock and received at @now_ns.
 */
uint64_t peer_clock_delay_ns(struct peer_clock *pc, uint64_t sent_ns,
			     uint64_t now_ns);

/**
 * One node. It is kept for a while after its card is gone, as its process may
 * go on sending. A probe is a load report that asks for one in return. The
 * boot is a random number that identifies one process of a node.
 */
struct dir_node {
	struct list link;
	struct list by_name; /* in its bucket of directory.by_name */
	struct list by_boot; /* in its bucket of directory.by_boot */
	char name[JD_NODE_NAME_MAX];
	uint32_t name_hash;
	struct node_card card;	    /* the newest known */
	revision_t revision;	    /* of the card; 0: the store has none */
	revision_t absent_revision; /* newest at which the store had none */
	uint64_t absent_ns;	    /* when the card was found to be gone */
	uint64_t heard_ns;     /* its last load report or answer; 0: none yet */
	uint64_t load_sent_ns; /* our last load report or answer to it */
	uint64_t probed_ns;    /* last probe sent to it; 0: never */
	bool probe_due;	       /* it has not answered a request and is silent */
	bool reply_due;	       /* it sent a probe: it gets a report at once */
	bool watches;	       /* it watches the store for others too */
	revision_t manifest_revision; /* in force there; 0: not stated */
	/* When it last sent a report as a watcher that is not ahead; 0: never
	 */
	uint64_t watched_ns;
	uint64_t reported_ns;	/* our last load report to it */
	struct list in_reports; /* in one of directory.report_* */
	uint64_t queued_ns;	/* when it went to the end of that list */
	/* Of its process, by report or else by card: directory_set_boot(). */
	uint64_t boot;
	bool leaving; /* that process ends soon */
	struct peer_clock clock;
	struct gate_load load; /* directory_note_load() */
	double mean_busy; /* moving average of its requests, by its reports */
	uint32_t unreported_requests; /* ours to it, not yet in @load */
	struct even_gate even;
	uint32_t key_share; /* of its service's keys, relative to the others */
	bool key_share_measured;
	/* Of keyed requests of ours to it, by class. */
	struct throttle throttle[THROTTLE_CLASSES];
	double failure_rate; /* moving average of our requests to it, 0 to 1 */
	uint64_t avoid_until_ns; /* no requests until then: it refused one */
};

/** How the records being applied came to this node. */
enum record_source { SOURCE_READ, SOURCE_WATCH, SOURCE_PEER };

/** Keymap of one service. */
struct dir_keymap {
	struct list link;
	revision_t revision;
	struct keymap *map;
};

/** A data centre that gets no requests and no keys. */
struct dir_evacuation {
	struct list link;
	char name[JD_NODE_NAME_MAX];
	revision_t revision; /* at which the store last had it */
};

struct directory {
	bool loaded;	     /* a complete read was applied */
	revision_t revision; /* all changes up to this one were applied */
	uint64_t era;	     /* highest that the store has stated */
	/* By then all authority over keys from earlier eras has ended. */
	uint64_t era_settled_ns;
	bool evacuations_kept;	      /* some that this era's store lacks */
	struct manifest *manifest;    /* NULL until one was read */
	revision_t manifest_revision; /* of the one in force */
	revision_t manifest_seen;     /* of the newest one, even if older */
	revision_t manifest_wanted;   /* of the newest one known to exist */
	revision_t manifest_invalid;  /* of the newest one that isn't valid */
	uint64_t manifest_version_known; /* newest that another node had */
	uint64_t version_heard_ns;	 /* when one last said that it had it */
	/* Since when a newer one is known to exist; 0: none is. */
	uint64_t manifest_late_since_ns;
	enum record_source source; /* of the records being applied */
	revision_t peer_revision;  /* the highest that another node reported */
	struct list nodes;	   /* of struct dir_node */
	struct list by_name[DIR_BUCKETS]; /* of struct dir_node */
	struct list by_boot[DIR_BUCKETS]; /* of struct dir_node */
	struct list keymaps;		  /* of struct dir_keymap */
	struct list evacuated;		  /* of struct dir_evacuation */
	char region[JD_NAME_MAX];	  /* of this node */
	bool urgent_reports; /* some node's probe_due or reply_due is set */
	uint64_t report_interval_ns; /* between two load reports to a node */
	/* Such intervals between two load reports to one of another region. */
	uint32_t far_report_rounds;
	/* Of struct dir_node.in_reports, in the order of their next report. */
	struct list report_new;	 /* that have got none yet */
	struct list report_near; /* of this region */
	struct list report_far;
	struct even even;     /* service times, to compare gates by */
	uint64_t apply_count; /* incremented whenever records are applied */
};

void directory_init(struct directory *d, const char *region);
void directory_done(struct directory *d);

/**
 * Notes the era that an answer of the store states. Returns true if it has
 * risen; what was granted in earlier eras has then ended by @settled_ns.
 */
bool directory_note_era(struct directory *d, uint64_t era, uint64_t settled_ns);

/** True when no authority over keys from an earlier era is left. */
bool directory_settled(const struct directory *d, uint64_t now_ns);

/** Fences that were given out in the present era are above this. */
uint64_t directory_fence_base(const struct directory *d);

/**
 * The revision @r of another node's message, in this node's order: one without
 * an era is taken to be of the present one.
 */
revision_t directory_order(const struct directory *d, revision_t r);

/** Notes that another node has a manifest of @version. */
void directory_note_version(struct directory *d, uint64_t version,
			    uint64_t now_ns);

/** True when another node has had a later version in force. */
bool directory_version_behind(const struct directory *d);

/** The same, if a live node has that version. */
bool directory_live_version_behind(const struct directory *d, uint64_t now_ns);

/**
 * Applies records of a watch or, if @complete, of a read of all records: one
 * missing from @records was then removed. @revision is 0 if the records show
 * nothing of others. Records older than the known ones change nothing. Contents
 * of @records may be moved into the directory.
 */
void directory_apply(struct directory *d, struct list *records, bool complete,
		     revision_t revision, uint64_t now_ns,
		     struct mesh_actions *out);

/**
 * Applies a read of all cards and keymaps: a card missing from @records was
 * removed. Other records may have changed too, so the directory's revision
 * stays.
 */
void directory_apply_partial(struct directory *d, struct list *records,
			     revision_t revision, uint64_t now_ns,
			     struct mesh_actions *out);

/** These return NULL if the directory has no such node or keymap. */
struct dir_node *directory_node(const struct directory *d, const char *name);
struct dir_node *directory_by_boot(const struct directory *d, uint64_t boot);

/** Notes that the node's process is @boot. */
void directory_set_boot(struct directory *d, struct dir_node *n, uint64_t boot);

const struct dir_keymap *directory_keymap(const struct directory *d,
					  const char *service);

/** True if the store has shown @k in the present era. */
bool directory_keymap_current(const struct directory *d,
			      const struct dir_keymap *k);

/** Notes that there is a manifest at @revision. */
void directory_note_manifest(struct directory *d, revision_t revision,
			     uint64_t now_ns);

/** True when a newer manifest than the one in force is known to exist. */
bool directory_manifest_outdated(const struct directory *d);

/** True when it is to be read from the store. */
bool directory_wants_manifest(const struct directory *d);

bool directory_dc_evacuated(const struct directory *d, const char *dc);

/**
 * Applies a load report; @from is the boot of its sender. Returns the sender's
 * node, or NULL for an unknown one.
 */
struct dir_node *directory_on_load_report(struct directory *d, uint64_t from,
					  const struct msg_load *l,
					  uint64_t now_ns);

/** Notes the load that a report or an answer of @n states. */
void directory_note_load(struct dir_node *n, const struct gate_load *load,
			 uint64_t now_ns);

/** True when @n is in the region of this node. */
bool directory_same_region(const struct directory *d, const struct dir_node *n);

/** How long a node may send nothing, unprobed, before it is taken as lost. */
uint64_t directory_silence_limit_ns(const struct directory *d,
				    const struct dir_node *n);

/** True when @n has sent something lately and answered the last probe. */
bool directory_node_alive(const struct directory *d, const struct dir_node *n,
			  uint64_t now_ns);

/** True when @n is alive and its gate accepts requests from this node. */
bool directory_usable(const struct directory *d, const struct dir_node *n,
		      uint64_t now_ns);

/**
 * Appends a struct keymap_candidate for each upstream of @service that may get
 * keys; the caller frees them with candidates_delete(). A node that has sent no
 * load report yet counts by its card.
 */
void directory_candidates(const struct directory *d, const char *service,
			  uint64_t now_ns, struct list *candidates);
void candidates_delete(struct list *candidates);

#endif
