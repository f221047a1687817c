/**
 * What an entry knows of a gate's load between two reports, for a choice that
 * keeps all gates equally busy. Answers and reports tell a gate's load; both
 * pass anyway. Without news, the load is taken to return to its mean; the
 * entry's own requests at the gate are known exactly.
 *
 * "How Useful Is Old Information?" (M. Mitzenmacher): the older the news, the
 * less it may decide. "C3" (L. Suresh et al., NSDI 2015): own requests under
 * way, and news on answers.
 */
#ifndef JD_CORE_LOAD_EVEN_H
#define JD_CORE_LOAD_EVEN_H

#include "core/list.h"
#include "core/message.h"

/** What an entry knows of one gate. */
struct even_gate {
	uint32_t in_flight; /* own requests at the gate, not yet answered */
	uint64_t news_ns;   /* latest report or answer; 0: none yet */
	double others;	    /* requests of other entries, by the latest news */
	double mean_others; /* moving average */
	uint32_t paces;	    /* answers that @log_pace was made from */
	double log_pace;    /* of the gate's time for a route over the mean */
};

/** Mean time of one route's requests, over the gates that answered. */
struct even_route {
	struct list link;
	char route[JD_NAME_MAX];
	double log_ns; /* logarithm of the time */
	uint32_t answers;
};

/** Mean service time of one service's gates. */
struct even_service {
	struct list link;
	char service[JD_NAME_MAX];
	double log_ns; /* logarithm of the time */
	uint32_t answers;
};

/** What an entry knows of routes and services. */
struct even {
	struct list routes;   /* of struct even_route */
	struct list services; /* of struct even_service */
};

/** A gate's time for one route's requests, without the machine's noise. */
struct even_pace {
	double mean_ns; /* 0: none was answered yet */
	uint32_t answers;
};

void even_init(struct even *e);
void even_done(struct even *e);

/** Counts a request of this entry that goes to the gate. */
void even_note_sent(struct even_gate *g);

/** One of them has been answered, or is given up. */
void even_note_ended(struct even_gate *g);

/** A report or an answer states the gate's load. */
void even_note_load(struct even_gate *g, const struct gate_load *load,
		    uint64_t now_ns);

/** What is known of @service; never NULL. */
struct even_service *even_service_for(struct even *e, const char *service);

/** An answer of a gate to one request. */
struct even_answer {
	const char *service;
	const char *route;
	uint64_t route_ns;   /* the gate's mean time for the route, or 0 */
	uint64_t service_ns; /* the same over all its routes */
};

void even_note_pace(struct even *e, struct even_gate *g,
		    const struct even_answer *a);

/** Requests at the gate that are expected now, own ones included. */
double even_busy(const struct even_gate *g, const struct gate_load *load,
		 uint64_t now_ns);

/** Share of the gate's slots that is expected to be free; above 0. */
double even_room(const struct even_gate *g, const struct gate_load *load,
		 uint64_t now_ns);

/** Requests that the gate can serve in a second, at its present pace. */
double even_capacity_per_s(const struct even_service *s,
			   const struct even_gate *g,
			   const struct gate_load *load, uint64_t now_ns);

/** The gate's mean time of the route; 0 until it is known well enough. */
uint64_t even_pace_ns(const struct even_pace *p);

/** How busy the gates of a service are, as an entry expects it. */
struct even_spread {
	uint32_t gates;
	double sum;  /* of the busy shares of their slots */
	double most; /* of one gate */
};

/** Adds one gate to @s. */
void even_spread_add(struct even_spread *s, const struct even_gate *g,
		     const struct gate_load *load, uint64_t now_ns);

/** The busiest gate's share over the mean; 0: no gate is busy. */
double even_spread_busiest_over_mean(const struct even_spread *s);

/**
 * Adds a request that took @took_ns while work on the machine took
 * @work_percent of the usual time; 0: unknown.
 */
void even_pace_add(struct even_pace *p, double took_ns, uint32_t work_percent);

#endif
