/** Counts what a node sends to others, by cause and by distance. */
#ifndef JD_CORE_LOAD_TRAFFIC_H
#define JD_CORE_LOAD_TRAFFIC_H

#include "core/message.h"

enum traffic_cause {
	TRAFFIC_REQUEST, /* first attempt */
	TRAFFIC_UPLOAD,	 /* the same, with a body of MESH_BULK_BYTES or more */
	TRAFFIC_REPEAT,	 /* later attempt, whatever its size */
	TRAFFIC_ANSWER,	 /* of an upstream */
	TRAFFIC_REFUSAL, /* an attempt's end without an answer */
	TRAFFIC_LOAD,
	TRAFFIC_CHANGES, /* records of the store */
	TRAFFIC_QUOTA,
	TRAFFIC_OTHER,
	TRAFFIC_COUNT,
};

/** To nodes of the own region (false) and of others (true). */
struct traffic {
	uint64_t bytes[TRAFFIC_COUNT][2];
	uint64_t messages[TRAFFIC_COUNT][2];
};

enum traffic_cause traffic_cause_of(const struct message *m);

/** Lower-case name, as in metrics and logs. */
const char *traffic_cause_name(enum traffic_cause c);

/** Counts a message of @bytes as sent. */
void traffic_add(struct traffic *t, const struct message *m, size_t bytes,
		 bool other_region);

#endif
