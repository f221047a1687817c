/**
 * What the scripts of this review share: the daemon as a separate process with
 * the settings of a small deployment, a stand-in of the store, an endpoint
 * without keys, and record.txt.
 */
#ifndef JD_REVIEW_LAB3_H
#define JD_REVIEW_LAB3_H

#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#include "fakes/kv_server.h"

#define LAB_ADDR_MAX  64
#define LAB_NODES_MAX 8

/** Exit codes of a script. */
enum lab_verdict { LAB_HELD = 0, LAB_BROKEN = 1, LAB_NOT_RUN = 2 };

/** One machine: its addresses and its daemon. */
struct lab_node {
	char name[32];
	char ip[32];
	char service[64];
	char outbound[LAB_ADDR_MAX];
	char control[LAB_ADDR_MAX];
	char ready[LAB_ADDR_MAX];
	char app[LAB_ADDR_MAX]; /* of its endpoint */
	char settings[300];	/* path */
	int log_fd;		/* standard output of the daemon; -1: a file */
	pid_t pid;		/* 0: not running */
};

struct lab {
	struct event_base *base;
	struct kv_server *store;
	char dir[200]; /* temporary folder */
	FILE *record;
	uint64_t start_ns;
	bool trouble; /* false with TROUBLE=0 */
	/* Settings of the deployment. */
	double heartbeat_s;
	const char *contracts;
	const char *bounds;
	struct lab_node nodes[LAB_NODES_MAX];
	uint32_t node_count;
	char store_addr[LAB_ADDR_MAX];
	char platform_addr[LAB_ADDR_MAX]; /* of the store in the settings */
};

/** Opens record.txt in @folder; ends the process with LAB_NOT_RUN on errors. */
void lab_init(struct lab *l, const char *folder);
/** Ends all daemons, removes the temporary folder, closes the record. */
void lab_done(struct lab *l);

/** Writes a line with the milliseconds since the start. */
void lab_note(struct lab *l, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

uint64_t lab_now_ns(void);
/** Runs the event loop for @ms. */
void lab_run(struct lab *l, uint32_t ms);

struct lab_node *lab_add_node(struct lab *l, const char *service);
/** @bootstrap: the whole system starts for the first time. */
void lab_node_start(struct lab *l, struct lab_node *n, bool bootstrap);
/** Writes the settings again, as the platform does when they change. */
void lab_node_configure(struct lab *l, const struct lab_node *n);
/** Sends @sig; reaps the daemon after SIGKILL. */
void lab_node_signal(struct lab *l, struct lab_node *n, int sig);
/** Reaps the daemon if it has ended; true if it runs. */
bool lab_node_runs(struct lab *l, struct lab_node *n);
/** True once all nodes answer their readiness address with 200. */
bool lab_wait_ready(struct lab *l, uint32_t ms);

/** An endpoint of a service without keys. */
struct lab_endpoint;

struct lab_endpoint_opts {
	struct lab *lab;
	const struct lab_node *node;
	const char *instance;
	uint32_t slots;
	uint32_t work_ms;
	uint32_t answer_bytes; /* body of each answer */
	bool silent;	       /* sends no reports by itself */
	/* Called when a request begins to run; may be NULL. */
	void (*on_run)(void *arg, const char *id);
	void *arg;
};

struct lab_endpoint *lab_endpoint_new(const struct lab_endpoint_opts *o);
void lab_endpoint_delete(struct lab_endpoint *e);
/**
 * The endpoint becomes cold for @ms right after its next report: it says so in
 * its health answers at once and in the reports that follow.
 */
void lab_endpoint_chill(struct lab_endpoint *e, uint32_t ms);
/** When it became cold; 0: not yet. */
uint64_t lab_endpoint_cold_since_ns(const struct lab_endpoint *e);
/** Sends no further reports. */
void lab_endpoint_silence(struct lab_endpoint *e);
uint64_t lab_endpoint_born_ms(const struct lab_endpoint *e);
/** Ends as in a crash: what runs gets no answer, nothing listens any more. */
void lab_endpoint_crash(struct lab_endpoint *e);
uint32_t lab_endpoint_ran(const struct lab_endpoint *e);

#endif
