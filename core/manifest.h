/** The manifest: the operators' configuration of the whole fleet. */
#ifndef JD_CORE_MANIFEST_H
#define JD_CORE_MANIFEST_H

#include "core/list.h"
#include "core/rng.h"
#include "core/types.h"

#define MANIFEST_SHARDS_DEFAULT 16384

enum route_kind {
	ROUTE_KEYED, /* sharded by key; each shard has one owner */
	ROUTE_ANY,   /* served by any endpoint of the service */
};

enum key_source { KEY_HEADER, KEY_QUERY, KEY_PATH };

/** Which part of a request is its key. */
struct key_rule {
	enum key_source source;
	char name[JD_NAME_MAX]; /* header or query field */
	uint32_t segment;	/* of the path, from 0 */
};

/** HTTP methods; bit numbers in route.idempotent. */
enum route_method {
	METHOD_GET,
	METHOD_HEAD,
	METHOD_OPTIONS,
	METHOD_PUT,
	METHOD_DELETE,
	METHOD_POST,
	METHOD_PATCH,
	METHOD_COUNT,
};

/** Regions that may serve and store the data of a route or organisation. */
struct region_set {
	uint32_t count; /* 0: all regions */
	char names[8][JD_NAME_MAX];
};

/** A service's share of a route's requests. */
struct split {
	char service[JD_NAME_MAX];
	uint32_t weight;
};

struct route {
	struct list link;
	struct list by_prefix; /* in its bucket of the index */
	uint32_t position;     /* in the list of routes, when indexed */
	char name[JD_NAME_MAX];
	char service[JD_NAME_MAX];
	char *host;	       /* Host header to match; empty: any */
	char *path;	       /* prefix of the paths to match */
	uint32_t split_count;  /* 0: all requests go to @service */
	struct split *splits;  /* @split_count, which the route owns */
	uint32_t priority;     /* under overload; 0 is served first */
	uint32_t max_attempts; /* of a request at upstreams; 0 means 1 */
	enum route_kind kind;
	struct key_rule key;
	uint32_t shards;
	uint32_t idempotent;	 /* mask of 1 << enum route_method */
	uint64_t timeout_ms;	 /* of a request without a deadline */
	uint64_t max_body_bytes; /* of a request */
	struct region_set home_regions;
	uint32_t objective_ppm; /* share of requests that must be good */
	uint64_t objective_ms;	/* time limit of a good request */
	bool invalid; /* matches requests, but can't be served as configured */
	bool open;    /* its callers need no API key */
};

/** A secret by which a caller shows that it belongs to an organisation. */
struct api_key {
	struct list link;
	struct list by_text; /* in its bucket of the index */
	struct organisation *organisation;
	char text[];
};

struct organisation {
	struct list link;
	char name[JD_NAME_MAX];
	char *long_name; /* in full, if @name is abbreviated; else NULL */
	struct region_set home_regions;
	uint32_t weight; /* share of a contended upstream */
	/* The rest is used in leased fleets only. */
	struct list api_keys; /* of struct api_key */
	bool has_priority;    /* @priority goes before the route's */
	uint32_t priority;
	double rate_per_s; /* requests of the whole fleet; 0: no limit */
	double burst;	   /* requests beyond @rate_per_s */
};

/** Settings of a service that do not belong to a route. */
struct service {
	struct list link;
	char name[JD_NAME_MAX];
	bool keyed;	   /* each key is held by one upstream */
	double cold_per_s; /* request rate limit of a cold upstream; 0: unset */
	uint32_t max_connections; /* to one upstream; 0: unset */
};

/** Limits on callers' requests and connections; 0: unset. */
struct caller_limits {
	uint64_t header_bytes;
	uint64_t body_bytes;
	uint64_t header_timeout_ms;
	uint64_t idle_timeout_ms;
};

enum dc_state {
	DC_IN,	    /* in service */
	DC_LEAVING, /* to be emptied: serves no new work */
	DC_OUT,	    /* out of service; may be removed from the manifest */
};

struct data_centre {
	struct list link;
	char name[JD_NAME_MAX];
	char region[JD_NAME_MAX];
	enum dc_state state;
};

/** Routes by host and path prefix. */
struct route_index {
	struct list *buckets; /* of struct route, by by_prefix */
	size_t bucket_count;
	size_t longest;	  /* bytes of the longest prefix */
	bool *has_length; /* some prefix has this many bytes */
};

struct manifest {
	struct list routes;	    /* of struct route */
	struct route_index *index;  /* NULL: none, the routes are scanned */
	struct list organisations;  /* of struct organisation */
	struct list data_centres;   /* of struct data_centre */
	struct list services;	    /* of struct service */
	struct api_key_index *keys; /* NULL: none, the keys are scanned */
	/* Callers of routes that are not open need an API key. */
	bool api_keys_required;
	struct caller_limits limits;
	uint64_t version;   /* assigned by the operators; 0: none */
	char change_id[64]; /* of the apply command that wrote it */
};

struct manifest *manifest_new(void);
void manifest_delete(struct manifest *m);
struct manifest *manifest_copy(const struct manifest *m);

/** An organisation with its default values, in no list. */
struct organisation *organisation_new(void);
void organisation_delete(struct organisation *o);
/** A copy in no list. */
struct organisation *organisation_copy(const struct organisation *o);
/** Sets the name, which may have any length. */
void organisation_set_name(struct organisation *o, const char *name);
/** The name in full. */
const char *organisation_full_name(const struct organisation *o);
void organisation_add_key(struct organisation *o, const char *text);

/** A route with its default values, in no list. */
struct route *route_new(void);
void route_delete(struct route *r);
/** A copy in no list. */
struct route *route_copy(const struct route *r);
/** Appends a split; the pointer is valid until the next one. */
struct split *route_add_split(struct route *r);
/** Set the host, or the prefix, to a copy of @text. */
void route_set_host(struct route *r, const char *text);
void route_set_path(struct route *r, const char *text);

/** Each appends an item with its default values, for the caller to fill in. */
struct route *manifest_add_route(struct manifest *m);
struct organisation *manifest_add_organisation(struct manifest *m);
struct data_centre *manifest_add_data_centre(struct manifest *m);
struct service *manifest_add_service(struct manifest *m);

/** Each finds an item by name; NULL if there is none. */
const struct route *manifest_route(const struct manifest *m, const char *name);
const struct organisation *manifest_organisation(const struct manifest *m,
						 const char *name);
const struct data_centre *manifest_data_centre(const struct manifest *m,
					       const char *name);

const struct service *manifest_service(const struct manifest *m,
				       const char *name);

/**
 * The route with the longest path prefix of @path among those for @host and
 * those for any host; NULL if there is none.
 */
const struct route *manifest_match_host(const struct manifest *m,
					const char *host, const char *path);

/**
 * Builds the indices of routes and API keys. Do so when the manifest is
 * complete: manifest_add_route() drops that of the routes, and keys that are
 * added later are in none.
 */
void manifest_build_index(struct manifest *m);

/** manifest_match_host() among the routes for any host only. */
const struct route *manifest_match(const struct manifest *m, const char *path);

/** Names of enum route_method, terminated by NULL. */
extern const char *const method_names[METHOD_COUNT + 1];

/** True when a request with @method may run more than once on this route. */
bool route_idempotent(const struct route *r, const char *method);

/** The service of one request, drawn by the weights of the route's splits. */
const char *route_draw_service(const struct route *r, struct rng *rng);

/** True when @set is empty or contains @region. */
bool region_set_allows(const struct region_set *set, const char *region);

/**
 * Sets @both to the regions that @a and @b both allow; false if there is none,
 * and @both is then of no use.
 */
bool region_set_intersect(const struct region_set *a,
			  const struct region_set *b, struct region_set *both);

#endif
