#include "fakes/upstream_state.h"

#include <stdlib.h>
#include <string.h>

#include "core/mem.h"

#define SAMPLE_EVERY_NS (100 * NS_PER_MS)
#define PERMILLE	1000

void upstream_state_init(struct upstream_state *s,
			 const struct upstream_opts *o, uint64_t instance,
			 uint64_t now_ns)
{
	memset(s, 0, sizeof(*s));
	s->opts = *o;
	s->instance = instance;
	s->slow_permille = PERMILLE;
	list_init(&s->routes);
	if (o->cold_ns)
		upstream_state_set_cold(s, now_ns);
}

void upstream_state_done(struct upstream_state *s)
{
	struct route_grants *r, *tmp;

	list_for_each_entry_safe(r, tmp, &s->routes, link) {
		free(r->shards);
		free(r);
	}
}

void upstream_state_set_cold(struct upstream_state *s, uint64_t now_ns)
{
	s->cold_until_ns = now_ns + s->opts.cold_ns;
}

static bool is_cold(const struct upstream_state *s, uint64_t now_ns)
{
	return now_ns < s->cold_until_ns;
}

bool upstream_state_announces_cold(const struct upstream_state *s,
				   uint64_t now_ns)
{
	return s->opts.announces_cold && is_cold(s, now_ns);
}

static struct shard_grant *find_or_add_shard(struct upstream_state *s,
					     const char *route, uint32_t i)
{
	struct route_grants *r;

	list_for_each_entry(r, &s->routes, link)
		if (!strcmp(r->name, route))
			goto found;
	r = mem_new(struct route_grants);
	mem_copy_str(r->name, route, sizeof(r->name));
	list_push_back(&s->routes, &r->link);
found:
	if (i >= r->count) {
		r->shards = mem_realloc(r->shards, i + 1, sizeof(*r->shards));
		memset(&r->shards[r->count], 0,
		       (i + 1 - r->count) * sizeof(*r->shards));
		r->count = i + 1;
	}
	return &r->shards[i];
}

void upstream_state_grant(struct upstream_state *s, const struct grant_range *g,
			  uint64_t deadline_ns)
{
	for (uint32_t i = g->first; i <= g->last; i++) {
		struct shard_grant *sh = find_or_add_shard(s, g->route, i);

		if (g->epoch < sh->seen)
			continue;
		sh->seen = g->epoch;
		sh->granted = g->epoch;
		sh->deadline_ns = deadline_ns;
	}
}

bool upstream_state_replace(struct upstream_state *s, uint64_t version)
{
	struct route_grants *r;

	if (version < s->version)
		return false;
	s->version = version;
	list_for_each_entry(r, &s->routes, link)
		for (uint32_t i = 0; i < r->count; i++)
			r->shards[i].granted = 0;
	return true;
}

bool upstream_state_extend(struct upstream_state *s, uint64_t version,
			   uint64_t deadline_ns)
{
	struct route_grants *r;

	if (version != s->version)
		return false;
	list_for_each_entry(r, &s->routes, link)
		for (uint32_t i = 0; i < r->count; i++)
			r->shards[i].deadline_ns = deadline_ns;
	return true;
}

static bool fence_valid(struct upstream_state *s, const struct fence *f,
			uint64_t now_ns)
{
	struct shard_grant *sh;

	if (!s->opts.checks_grants || !f)
		return true;
	sh = find_or_add_shard(s, f->route, f->shard);
	if (f->epoch > sh->seen)
		sh->seen = f->epoch;
	return f->epoch == sh->seen && f->epoch == sh->granted &&
	       now_ns < sh->deadline_ns;
}

static void sample_load(struct upstream_state *s, uint64_t now_ns)
{
	uint32_t last = (s->next_sample + UPSTREAM_LOAD_SAMPLES - 1) %
			UPSTREAM_LOAD_SAMPLES;
	struct load_sample *l = &s->samples[s->next_sample];

	if (now_ns < s->samples[last].at_ns + SAMPLE_EVERY_NS)
		return;
	l->at_ns = now_ns;
	l->permille = s->running * PERMILLE / s->opts.slots;
	s->next_sample = (s->next_sample + 1) % UPSTREAM_LOAD_SAMPLES;
}

uint32_t upstream_state_load(const struct upstream_state *s, uint64_t now_ns)
{
	const struct load_sample *best = NULL;

	if (s->report == REPORT_LIES)
		return s->lie_permille;
	if (!s->opts.report_lag_ns)
		return s->running * PERMILLE / s->opts.slots;
	for (int i = 0; i < UPSTREAM_LOAD_SAMPLES; i++) {
		const struct load_sample *l = &s->samples[i];

		if (l->at_ns + s->opts.report_lag_ns <= now_ns &&
		    (!best || l->at_ns > best->at_ns))
			best = l;
	}
	return best ? best->permille : 0;
}

/*
 * With more requests than slots, or than cold_bears while cold, each takes
 * longer in proportion.
 */
static uint64_t end_time_ns(const struct upstream_state *s,
			    const struct upstream_request *req, uint64_t now_ns)
{
	uint64_t work = req->work_ns ? req->work_ns : s->opts.work_ns;
	uint64_t start =
		now_ns > s->stall_until_ns ? now_ns : s->stall_until_ns;
	uint32_t capacity = s->opts.slots;

	if (is_cold(s, now_ns) && s->opts.cold_bears)
		capacity = s->opts.cold_bears;
	work = work * s->slow_permille / PERMILLE;
	if (s->running > capacity)
		work = work * s->running / capacity;
	return start + work;
}

static enum upstream_result refuse(struct upstream_state *s)
{
	s->refused++;
	return UPSTREAM_REFUSED;
}

static enum upstream_result fall_over(struct upstream_state *s, uint64_t now_ns)
{
	s->falls++;
	s->running = 0;
	s->instance++;
	s->down_until_ns = now_ns + s->opts.restart_ns;
	upstream_state_set_cold(s, s->down_until_ns);
	return UPSTREAM_FALLS_OVER;
}

static enum upstream_result check_capacity(struct upstream_state *s,
					   uint64_t now_ns)
{
	if (s->running >= s->opts.slots + s->opts.queue)
		return refuse(s);
	if (!is_cold(s, now_ns) || s->running < s->opts.cold_bears)
		return UPSTREAM_RUNS;
	switch (s->opts.cold_mode) {
	case COLD_REFUSES:
		return refuse(s);
	case COLD_SLOWS:
		return UPSTREAM_RUNS;
	case COLD_FALLS_OVER:
		break;
	}
	return fall_over(s, now_ns);
}

enum upstream_result
upstream_state_start_request(struct upstream_state *s,
			     const struct upstream_request *req,
			     uint64_t now_ns, uint64_t *end_ns)
{
	enum upstream_result result;

	if (now_ns < s->down_until_ns)
		return UPSTREAM_DOWN;
	if (!fence_valid(s, req->fence, now_ns)) {
		s->fenced++;
		return UPSTREAM_FENCED;
	}
	if (s->draining || now_ns >= req->deadline_ns)
		return refuse(s);
	result = check_capacity(s, now_ns);
	if (result != UPSTREAM_RUNS)
		return result;
	s->running++;
	s->ran++;
	sample_load(s, now_ns);
	*end_ns = end_time_ns(s, req, now_ns);
	return UPSTREAM_RUNS;
}

void upstream_state_end_request(struct upstream_state *s, uint64_t now_ns)
{
	if (s->running)
		s->running--;
	sample_load(s, now_ns);
}
