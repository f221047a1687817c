#include "core/lease.h"

void lease_init(struct lease *l)
{
	l->deadline_ns = 0;
	l->min_term = 0;
	l->lost = false;
}

void lease_confirm(struct lease *l, uint64_t sent_ns, uint64_t lease_ns)
{
	if (l->deadline_ns < sent_ns + lease_ns)
		l->deadline_ns = sent_ns + lease_ns;
}

bool lease_on_answer(struct lease *l, const struct lease_answer *a,
		     uint64_t lease_ns)
{
	if (a->from != a->keeper || a->term != a->keeper_term)
		return false;
	if (a->term < l->min_term)
		return false;
	lease_confirm(l, a->sent_ns, lease_ns);
	return true;
}

void lease_leave_keeper(struct lease *l, uint64_t term)
{
	if (l->min_term < term + 1)
		l->min_term = term + 1;
}

bool lease_valid(const struct lease *l, uint64_t now_ns)
{
	return !l->lost && now_ns < l->deadline_ns;
}
