/** The operators' configuration in its typed form. */
#ifndef JD_CORE_MANIFEST_H
#define JD_CORE_MANIFEST_H

#include "core/list.h"
#include "core/types.h"

#define MANIFEST_SHARDS_DEFAULT 16384

enum route_kind {
	ROUTE_KEYED, /* divided by key: one owner a shard */
	ROUTE_ANY,   /* any endpoint of the service */
};

enum key_source { KEY_HEADER, KEY_QUERY, KEY_PATH };

/** Where a request's key is: a header, a query field, a path segment. */
struct key_rule {
	enum key_source source;
	char name[JD_NAME_MAX]; /* header or query field */
	uint32_t segment;	/* path segment, 0 the first */
};

/** Methods that a route may declare idempotent; the bits of a mask. */
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

struct region_set {
	uint32_t count; /* 0: no binding */
	char names[8][JD_NAME_MAX];
};

#define ROUTE_SPLITS_MAX 8

/** A service's share of a route's requests. */
struct split {
	char service[JD_NAME_MAX];
	uint32_t weight;
};

struct route {
	struct list link;
	char name[JD_NAME_MAX];
	char service[JD_NAME_MAX];
	char host[128];	      /* the Host a request must name; empty: any */
	char path[128];	      /* prefix a request's path must have */
	uint32_t split_count; /* 0: all requests go to @service */
	struct split splits[ROUTE_SPLITS_MAX];
	uint32_t priority;     /* rank under overload; 0 is served first */
	uint32_t max_attempts; /* upstreams that one request may reach; 0: 1 */
	enum route_kind kind;
	struct key_rule key;
	uint32_t shards;
	uint32_t idempotent;	 /* mask of 1 << enum route_method */
	uint64_t timeout_ms;	 /* deadline of a request that names none */
	uint64_t max_body_bytes; /* of a request */
	struct region_set home_regions;
	uint32_t objective_ppm; /* good requests out of a million */
	uint64_t objective_ms;	/* a good request is answered within this */
};

struct organisation {
	struct list link;
	char name[JD_NAME_MAX];
	struct region_set home_regions;
	uint32_t weight; /* share of a contended upstream */
};

/** What is known of a service beside its routes. */
struct service {
	struct list link;
	char name[JD_NAME_MAX];
	bool keyed;	   /* each key is held by one upstream */
	double cold_per_s; /* requests a second that a cold upstream bears;
			      0: no bound */
	uint32_t max_connections; /* of one upstream; 0: not stated */
};

/** Bounds on what callers may send; 0: not stated. */
struct caller_limits {
	uint64_t header_bytes;
	uint64_t body_bytes;
	uint64_t header_timeout_ms;
	uint64_t idle_timeout_ms;
};

enum dc_state { DC_IN, DC_LEAVING, DC_OUT };

struct data_centre {
	struct list link;
	char name[JD_NAME_MAX];
	char region[JD_NAME_MAX];
	enum dc_state state;
};

struct manifest {
	struct list routes;	   /* of struct route */
	struct list organisations; /* of struct organisation */
	struct list data_centres;  /* of struct data_centre */
	struct list services;	   /* of struct service */
	struct caller_limits limits;
	uint64_t version;   /* of the operators' own count; 0: they keep none */
	char change_id[64]; /* of the apply that wrote it */
};

struct manifest *manifest_new(void);
void manifest_delete(struct manifest *m);
struct manifest *manifest_copy(const struct manifest *m);

struct route *manifest_add_route(struct manifest *m);
struct organisation *manifest_add_organisation(struct manifest *m);
struct data_centre *manifest_add_data_centre(struct manifest *m);
struct service *manifest_add_service(struct manifest *m);

/** NULL when there is none of that name. */
const struct route *manifest_route(const struct manifest *m, const char *name);
const struct organisation *manifest_organisation(const struct manifest *m,
						 const char *name);
const struct data_centre *manifest_data_centre(const struct manifest *m,
					       const char *name);

const struct service *manifest_service(const struct manifest *m,
				       const char *name);

/** Among the routes of @host, the one with the longest prefix of @path. */
const struct route *manifest_match_host(const struct manifest *m,
					const char *host, const char *path);

/** The route with the longest path prefix of @path; NULL for none. */
const struct route *manifest_match(const struct manifest *m, const char *path);

/** Names of enum route_method, closed by NULL. */
extern const char *const method_names[METHOD_COUNT + 1];

/** True when a request of @method may run twice on this route. */
bool route_idempotent(const struct route *r, const char *method);

/** True when @set binds nothing or has @region. */
bool region_set_allows(const struct region_set *set, const char *region);

#endif
