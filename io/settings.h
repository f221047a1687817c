/** The settings of jackdawd, read from a TOML file and checked. */
#ifndef JD_IO_SETTINGS_H
#define JD_IO_SETTINGS_H

#include "core/ctx.h"
#include "core/finding.h"
#include "io/field.h"
#include "io/peer_auth.h"

struct settings {
	char name[JD_NAME_MAX];
	char dc[JD_NAME_MAX];
	char region[JD_NAME_MAX];
	char http_addr[JD_ADDR_MAX];
	char peer_addr[JD_ADDR_MAX];
	char store_addr[JD_ADDR_MAX];
	struct peer_keys peer_keys; /* of the fleet; empty: no encryption */
	int log_level;		    /* enum log_level */
	uint64_t max_body_bytes;
	uint64_t heartbeat_ms;
	uint64_t lease_ms;
	uint64_t detect_ms;
	uint64_t store_outage_grace_ms;
	uint64_t drift_ppm;
};

/** Describes all fields of the settings file. */
extern const struct field_table settings_table;

/** Sets the defaults, which run a single node on the loopback address. */
void settings_default(struct settings *s);

/**
 * Reads the file @path into @s and adds its errors to @f. Settings that are not
 * in the file keep their value.
 */
void settings_read(struct settings *s, const char *path, struct findings *f);

/** Returns the reference page in Markdown; freed by the caller. */
char *settings_reference(void);

/** Fills the core's options; @seed seeds its random numbers. */
void settings_node_opts(const struct settings *s, uint64_t seed,
			struct node_opts *o);

#endif
