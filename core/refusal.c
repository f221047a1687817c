#include "core/refusal.h"

static const struct refusal_info refusals[REFUSAL_COUNT] = {
	[REFUSAL_NONE] = {"none", 200, false},
	[REFUSAL_BAD_REQUEST] = {"bad_request", 400, false},
	[REFUSAL_NO_ROUTE] = {"no_route", 404, true},
	[REFUSAL_NO_KEY] = {"no_key", 400, false},
	[REFUSAL_BAD_DEADLINE] = {"bad_deadline", 400, false},
	[REFUSAL_NO_ORGANISATION] = {"no_organisation", 403, true},
	[REFUSAL_TOO_LARGE] = {"too_large", 413, false},
	[REFUSAL_HOME_REGION] = {"home_region", 421, false},
	[REFUSAL_NO_MANIFEST] = {"no_manifest", 503, true},
	[REFUSAL_NO_OWNER] = {"no_owner", 503, true},
	[REFUSAL_NOT_OWNER] = {"not_owner", 503, true},
	[REFUSAL_MOVING] = {"moving", 503, true},
	[REFUSAL_NO_LEASE] = {"no_lease", 503, true},
	[REFUSAL_QUEUE_FULL] = {"queue_full", 503, false},
	[REFUSAL_DEADLINE] = {"deadline", 503, false},
	[REFUSAL_PEER_DOWN] = {"peer_down", 503, true},
	[REFUSAL_UPSTREAM_DOWN] = {"upstream_down", 503, true},
	[REFUSAL_UPSTREAM_SHED] = {"upstream_shed", 503, true},
	[REFUSAL_LEAVING] = {"leaving", 503, true},
	[REFUSAL_CONNECTION_LOST] = {"connection_lost", 502, false},
	[REFUSAL_NO_ANSWER] = {"no_answer", 504, false},
	[REFUSAL_ANSWER_TOO_LARGE] = {"answer_too_large", 502, false},
	[REFUSAL_INVALID_ROUTE] = {"invalid_route", 503, false},
	[REFUSAL_OLD_MANIFEST] = {"old_manifest", 503, true},
	[REFUSAL_UNKNOWN_API_KEY] = {"unknown_api_key", 401, true},
	[REFUSAL_OVER_QUOTA] = {"over_quota", 429, false},
	[REFUSAL_NO_QUOTA_SHARE] = {"no_quota_share", 503, true},
	[REFUSAL_NO_ROOM] = {"no_room", 503, true},
	[REFUSAL_NO_COMMON_REGION] = {"no_common_region", 503, false},
};

const struct refusal_info *refusal_find(enum refusal r)
{
	return &refusals[r < REFUSAL_COUNT ? r : REFUSAL_BAD_REQUEST];
}
