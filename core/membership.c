#include "core/membership.h"

#include <string.h>

#include "core/mem.h"

/*
 * Of equally placed nodes, one that keeps fewer than this is preferred, and of
 * these one that keeps some already.
 */
#define KEEPER_TARGET_NODES    8
/* Nodes leave a keeper that has more nodes than this. */
#define KEEPER_MAX_NODES       12
/* Interval between a node's searches for a better keeper. */
#define IMPROVE_INTERVAL_NS    (5 * NS_PER_S)
/*
 * In a cold start, when the whole fleet starts, joins are spread over this
 * time. A start is cold until the store has had COLD_START_WRITES writes since
 * the planner got its lease.
 */
#define COLD_START_SPREAD_NS   (3 * NS_PER_S)
#define COLD_START_WRITES      200
/*
 * After a conflict in the roster a node retries at random within a window that
 * doubles with each conflict, up to CONFLICT_DOUBLINGS_MAX times.
 */
#define CONFLICT_RETRY_NS      (100 * NS_PER_MS)
#define CONFLICT_DOUBLINGS_MAX 3
#define REJOIN_DELAY_NS	       (100 * NS_PER_MS)
#define STORE_RETRY_NS	       (50 * NS_PER_MS)
/* Unanswered heartbeats until the lease is confirmed from the store. */
#define SILENT_HEARTBEATS      2
/* Unanswered heartbeats until the node asks for another keeper. */
#define CHANGE_HEARTBEATS      6

static uint64_t heartbeat_interval_ns(const struct ctx *c)
{
	return c->opts->timing.heartbeat_ns;
}

void membership_init(struct membership *m)
{
	memset(m, 0, sizeof(*m));
	lease_init(&m->lease);
}

void membership_on_announcement(struct membership *m, const char *service,
				bool draining)
{
	m->upstream_draining = draining;
	mem_copy_str(m->service, service, sizeof(m->service));
}

bool membership_keeper_silent(const struct membership *m, const struct ctx *c)
{
	return m->state == MEMBERSHIP_IN &&
	       (!m->keeper ||
		c->now_ns > m->heard_ns + SILENT_HEARTBEATS *
						  heartbeat_interval_ns(c));
}

bool membership_may_serve(const struct membership *m, const struct ctx *c)
{
	return m->state == MEMBERSHIP_IN && lease_valid(&m->lease, c->now_ns);
}

#define RANK_OTHER_DC	4
#define RANK_OWN_REGION 8
#define RANK_BEST_PLACE (RANK_OTHER_DC + RANK_OWN_REGION)

/*
 * A keeper in another data centre survives the loss of this node's; one in
 * the same region stays reachable during a partition between regions.
 */
static uint32_t place_rank(const struct ctx *c, const struct roster *r)
{
	uint32_t rank = 0;

	if (strcmp(r->dc, c->opts->dc) != 0)
		rank += RANK_OTHER_DC;
	if (!strcmp(r->region, c->opts->region))
		rank += RANK_OWN_REGION;
	return rank;
}

/* Higher is better; 0 for a node that can't be the keeper. */
static uint64_t keeper_rank(struct ctx *c, const struct roster *r,
			    const struct member *m, incarnation_t avoid)
{
	uint64_t rank = 1;
	uint32_t kept_count;

	if (m->inc == c->self || m->inc == avoid || m->state != MEMBER_UP)
		return 0;
	if (!strcmp(m->name, c->opts->name))
		return 0;
	kept_count = m->kept_count;
	if (kept_count < KEEPER_TARGET_NODES)
		rank += 2 + (kept_count > 0);
	rank += place_rank(c, r);
	return (rank << 32) + (rng_next(&c->rng) >> 32);
}

static const struct member *choose_keeper(struct ctx *c, incarnation_t avoid)
{
	const struct member *best = NULL;
	const struct doc *d = NULL;
	uint64_t best_rank = 0;

	while ((d = view_next(&c->view, DOC_ROSTER, d))) {
		const struct member *m;

		list_for_each_entry(m, &d->u.roster->members, link) {
			uint64_t rank = keeper_rank(c, d->u.roster, m, avoid);

			if (rank <= best_rank)
				continue;
			best_rank = rank;
			best = m;
		}
	}
	return best;
}

static void boot(struct membership *m, struct ctx *c)
{
	if (c->now_ns < m->next_try_ns || ctx_call_pending(c, CALL_BOOT))
		return;
	ctx_call(c,
		 &(struct call_opts){.owner = CALL_BOOT, .kind = STORE_WATCH});
}

/*
 * Earlier processes of this node have ended, since this one has their peer
 * address. Their entries are revoked without waiting for a keeper to detect
 * it; only their leases must run out.
 */
static void revoke_predecessors(struct roster *r, const struct ctx *c)
{
	struct member *m;

	list_for_each_entry(m, &r->members, link) {
		if (m->inc == c->self || strcmp(m->name, c->opts->name) != 0 ||
		    strcmp(m->peer_addr, c->opts->peer_addr) != 0)
			continue;
		m->state = MEMBER_REVOKED;
		m->former_keeper = 0;
	}
}

/* A copy of the known roster with the own entry added. */
static struct doc *roster_with_self(struct membership *m, struct ctx *c)
{
	const struct doc *old = view_doc(&c->view, DOC_ROSTER, c->opts->dc);
	const struct member *keeper = choose_keeper(c, 0);
	struct doc *d = doc_new(DOC_ROSTER, c->opts->dc);
	struct member *self;

	d->u.roster = old && old->u.roster
			      ? roster_copy(old->u.roster)
			      : roster_new(c->opts->dc, c->opts->region);
	revoke_predecessors(d->u.roster, c);
	self = roster_add(d->u.roster, c->opts->name, c->self);
	mem_copy_str(self->service, m->service, sizeof(self->service));
	mem_copy_str(self->peer_addr, c->opts->peer_addr,
		     sizeof(self->peer_addr));
	mem_copy_str(self->http_addr, c->opts->http_addr,
		     sizeof(self->http_addr));
	self->state = MEMBER_UP;
	self->keeper = keeper ? keeper->inc : 0;
	self->term = 1;
	return d;
}

static void write_roster(struct ctx *c, struct doc *d)
{
	const struct doc *old = view_doc(&c->view, DOC_ROSTER, c->opts->dc);

	ctx_call(c, &(struct call_opts){.owner = CALL_JOIN,
					.kind = STORE_CAS,
					.doc_kind = DOC_ROSTER,
					.name = c->opts->dc,
					.revision = old ? old->revision : 0,
					.doc = d});
}

static const struct member *own_entry(const struct ctx *c)
{
	return view_member(&c->view, c->self, NULL);
}

static void read_own_roster(struct ctx *c, enum call_owner owner)
{
	ctx_call(c, &(struct call_opts){.owner = owner,
					.kind = STORE_GET,
					.doc_kind = DOC_ROSTER,
					.name = c->opts->dc});
}

/* True until COLD_START_WRITES writes after the planner claimed its lease. */
static bool cold_start(const struct ctx *c)
{
	const struct doc *d = view_doc(&c->view, DOC_PLANNER, "");

	return !d || doc_absent(d) ||
	       c->view.revision < d->revision + COLD_START_WRITES;
}

static void finish_boot(struct membership *m, struct ctx *c)
{
	if (m->start_delayed || !cold_start(c)) {
		m->state = MEMBERSHIP_JOIN;
		return;
	}
	m->start_delayed = true;
	m->next_try_ns = c->now_ns + rng_below(&c->rng, COLD_START_SPREAD_NS);
}

static uint64_t conflict_delay_ns(struct membership *m, struct ctx *c)
{
	uint32_t shift = m->conflicts < CONFLICT_DOUBLINGS_MAX
				 ? m->conflicts
				 : CONFLICT_DOUBLINGS_MAX;

	m->conflicts++;
	m->roster_stale = true;
	return rng_below(&c->rng, CONFLICT_RETRY_NS << shift);
}

/*
 * A write without an answer may have taken effect, and the entry may have
 * been revoked and removed since: that incarnation must not be used again.
 */
static void join(struct membership *m, struct ctx *c)
{
	if (!m->service[0] || m->leaving || m->upstream_draining)
		return;
	if (c->now_ns < m->next_try_ns || ctx_call_pending(c, CALL_JOIN))
		return;
	if (m->roster_stale) {
		m->roster_stale = false;
		read_own_roster(c, CALL_JOIN);
		return;
	}
	if (m->join_unknown || own_entry(c))
		c->self = rng_next(&c->rng);
	m->join_unknown = false;
	write_roster(c, roster_with_self(m, c));
}

static void send_heartbeat(struct membership *m, struct ctx *c)
{
	const struct member *keeper = view_member(&c->view, m->keeper, NULL);
	struct message *msg;

	if (c->now_ns < m->next_heartbeat_ns)
		return;
	m->next_heartbeat_ns = c->now_ns + heartbeat_interval_ns(c);
	if (!keeper)
		return;
	msg = message_new(MSG_HEARTBEAT);
	mem_copy_str(msg->u.heartbeat.dc, c->opts->dc,
		     sizeof(msg->u.heartbeat.dc));
	msg->u.heartbeat.sent_ns = c->now_ns;
	msg->u.heartbeat.term = m->term;
	msg->u.heartbeat.revision = c->view.revision;
	msg->u.heartbeat.needs_documents = c->view.needs_documents;
	ctx_send(c, m->keeper, keeper->peer_addr, msg);
}

static void read_own_entry(struct membership *m, struct ctx *c)
{
	if (!membership_keeper_silent(m, c) || c->now_ns < m->next_read_ns ||
	    ctx_call_pending(c, CALL_CONFIRM))
		return;
	m->next_read_ns =
		c->now_ns + ctx_jitter(c, c->opts->timing.lease_ns / 3);
	read_own_roster(c, CALL_CONFIRM);
}

/* Random, so that about as many leave as exceed KEEPER_MAX_NODES. */
static bool leaves_crowded_keeper(const struct member *k, struct ctx *c)
{
	return k->kept_count > KEEPER_MAX_NODES &&
	       rng_below(&c->rng, k->kept_count) <
		       k->kept_count - KEEPER_MAX_NODES;
}

/* True when another keeper is better placed or less crowded. */
static bool could_improve(struct membership *m, struct ctx *c)
{
	const struct member *k = view_member(&c->view, m->keeper, NULL);
	const struct member *best;
	uint32_t place;

	if (!k || c->now_ns < m->next_improve_ns)
		return false;
	m->next_improve_ns = c->now_ns + IMPROVE_INTERVAL_NS;
	place = place_rank(c, k->roster);
	if (place == RANK_BEST_PLACE && k->kept_count <= KEEPER_MAX_NODES)
		return false;
	best = choose_keeper(c, m->keeper);
	if (!best)
		return false;
	if (place_rank(c, best->roster) != place)
		return place_rank(c, best->roster) > place;
	return best->kept_count < KEEPER_TARGET_NODES &&
	       leaves_crowded_keeper(k, c);
}

static bool keeper_lost(const struct membership *m, const struct ctx *c)
{
	return !m->keeper ||
	       c->now_ns > m->heard_ns +
				   CHANGE_HEARTBEATS * heartbeat_interval_ns(c);
}

static void change_keeper(struct membership *m, struct ctx *c)
{
	const struct member *k;
	struct message *msg;

	if (c->now_ns < m->next_adopt_ns)
		return;
	if (!keeper_lost(m, c) && !could_improve(m, c))
		return;
	m->next_adopt_ns =
		c->now_ns + ctx_jitter(c, 4 * heartbeat_interval_ns(c));
	k = choose_keeper(c, m->keeper);
	if (!k)
		return;
	lease_leave_keeper(&m->lease, m->term);
	msg = message_new(MSG_ADOPT);
	mem_copy_str(msg->u.adopt.dc, c->opts->dc, sizeof(msg->u.adopt.dc));
	msg->u.adopt.old_term = m->term;
	ctx_send(c, k->inc, k->peer_addr, msg);
}

/*
 * Sets @want to the state that the entry should have: LEAVING while the node
 * or its upstream drains, UP again when only the upstream did. True when the
 * entry must be written.
 */
static bool needs_state_change(const struct membership *m,
			       const struct member *self,
			       enum member_state *want)
{
	*want = m->leaving || m->upstream_draining ? MEMBER_LEAVING : MEMBER_UP;
	if (self->state == MEMBER_REVOKED || self->state == *want)
		return false;
	return *want == MEMBER_LEAVING || m->leaving_for_upstream;
}

static void write_state(struct membership *m, struct ctx *c)
{
	const struct doc *old = view_doc(&c->view, DOC_ROSTER, c->opts->dc);
	const struct member *self = own_entry(c);
	enum member_state want;
	struct doc *d;

	if (self && self->state == MEMBER_UP && !m->upstream_draining)
		m->leaving_for_upstream = false;
	if (!self || !needs_state_change(m, self, &want) ||
	    c->now_ns < m->next_try_ns || ctx_call_pending(c, CALL_JOIN))
		return;
	m->leaving_for_upstream |= want == MEMBER_LEAVING && !m->leaving;
	d = doc_new(DOC_ROSTER, c->opts->dc);
	d->u.roster = roster_copy(old->u.roster);
	roster_find(d->u.roster, c->self)->state = want;
	write_roster(c, d);
}

void membership_work(struct membership *m, struct ctx *c)
{
	switch (m->state) {
	case MEMBERSHIP_BOOT:
		boot(m, c);
		break;
	case MEMBERSHIP_JOIN:
		join(m, c);
		break;
	case MEMBERSHIP_IN:
		send_heartbeat(m, c);
		read_own_entry(m, c);
		change_keeper(m, c);
		write_state(m, c);
		break;
	}
}

uint64_t membership_next_ns(const struct membership *m)
{
	return m->state == MEMBERSHIP_IN ? m->next_heartbeat_ns
					 : m->next_try_ns;
}

/* The entry is gone or revoked: joins again under a new incarnation. */
static void start_rejoin(struct membership *m, struct ctx *c)
{
	struct membership fresh;

	actions_log(c->out, LOG_WARN, "event=membership_lost inc=%016lx",
		    (unsigned long)c->self);
	m->lease.lost = true;
	membership_init(&fresh);
	mem_copy_str(fresh.service, m->service, sizeof(fresh.service));
	fresh.leaving = m->leaving;
	fresh.upstream_draining = m->upstream_draining;
	fresh.state = MEMBERSHIP_BOOT;
	fresh.next_try_ns = c->now_ns + ctx_jitter(c, REJOIN_DELAY_NS);
	*m = fresh;
	c->self = rng_next(&c->rng);
}

void membership_follow(struct membership *m, struct ctx *c)
{
	const struct member *self = own_entry(c);

	if (m->state == MEMBERSHIP_BOOT)
		return;
	if (!self || self->state == MEMBER_REVOKED) {
		if (m->state == MEMBERSHIP_IN)
			start_rejoin(m, c);
		return;
	}
	if (m->state == MEMBERSHIP_JOIN) {
		actions_log(c->out, LOG_INFO,
			    "event=joined inc=%016lx keeper=%016lx",
			    (unsigned long)c->self,
			    (unsigned long)self->keeper);
		m->state = MEMBERSHIP_IN;
		m->heard_ns = c->now_ns;
	}
	if (self->term <= m->term)
		return;
	m->term = self->term;
	m->keeper = self->keeper;
	m->next_heartbeat_ns = c->now_ns;
	m->next_improve_ns = c->now_ns + IMPROVE_INTERVAL_NS;
}

/* Extends the lease when the store shows that the entry is not revoked. */
static void confirm_from_store(struct membership *m, struct ctx *c,
			       const struct call *call)
{
	const struct member *self = own_entry(c);

	if (m->state != MEMBERSHIP_IN || !self || self->state == MEMBER_REVOKED)
		return;
	lease_confirm(&m->lease, call->sent_ns, c->opts->timing.lease_ns);
}

void membership_on_store(struct membership *m, struct ctx *c,
			 const struct call *call, struct ev_store *ev)
{
	bool boot_read = call->owner == CALL_BOOT;
	bool answered =
		ev->status == STATUS_OK || ev->status == STATUS_CONFLICT;

	if (boot_read && ev->status == STATUS_OK) {
		view_snapshot(&c->view, ev->revision, &ev->docs);
		if (m->state == MEMBERSHIP_BOOT)
			finish_boot(m, c);
	}
	view_apply_all(&c->view, &ev->docs);
	if (call->owner == CALL_CONFIRM && ev->status == STATUS_OK)
		confirm_from_store(m, c, call);
	if (call->owner == CALL_JOIN && !answered) {
		m->join_unknown = true;
		/* The write may have taken effect: read before the next. */
		read_own_roster(c, CALL_JOIN);
	}
	if (call->owner == CALL_JOIN && ev->status == STATUS_CONFLICT)
		m->next_try_ns = c->now_ns + conflict_delay_ns(m, c);
	else if (ev->status != STATUS_OK)
		m->next_try_ns = c->now_ns + ctx_jitter(c, STORE_RETRY_NS);
	membership_follow(m, c);
}

void membership_on_ack(struct membership *m, struct ctx *c,
		       const struct message *msg)
{
	const struct msg_heartbeat_ack *ack = &msg->u.heartbeat_ack;
	struct lease_answer a = {
		.sent_ns = ack->sent_ns,
		.from = msg->from,
		.term = ack->term,
		.keeper = m->keeper,
		.keeper_term = m->term,
	};

	if (m->state != MEMBERSHIP_IN || ack->sent_ns > c->now_ns)
		return;
	if (!lease_on_answer(&m->lease, &a, c->opts->timing.lease_ns))
		return;
	if (m->heard_ns < ack->sent_ns)
		m->heard_ns = ack->sent_ns;
}
