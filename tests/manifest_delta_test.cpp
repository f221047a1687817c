#include "jd_test.hpp"

#include <algorithm>
#include <functional>
#include <rapidcheck/gtest.h>
#include <string>
#include <vector>

extern "C" {
#include "core/manifest_delta.h"
#include "core/mem.h"
#include "core/text.h"
}

static struct route *add_route(struct manifest *m, int i, uint64_t timeout_ms)
{
	struct route *r = manifest_add_route(m);

	text_format(r->name, sizeof(r->name), "r-%d", i);
	text_format(r->path, sizeof(r->path), "/p%d/", i);
	mem_copy_str(r->host, "h.example", sizeof(r->host));
	mem_copy_str(r->service, "s", sizeof(r->service));
	r->timeout_ms = timeout_ms;
	return r;
}

static struct manifest *new_manifest(uint64_t version)
{
	struct manifest *m = manifest_new();
	struct service *s = manifest_add_service(m);

	m->version = version;
	mem_copy_str(s->name, "s", sizeof(s->name));
	s->cold_per_s = 14;
	return m;
}

static size_t length(const struct list *l)
{
	size_t n = 0;

	for (const struct list *p = l->next; p != l; p = p->next)
		n++;
	return n;
}

/* Each route is absent, the same, or changed in the second manifest. */
RC_GTEST_PROP(ManifestDelta, TurnsOneManifestIntoTheOther,
	      (const std::vector<uint8_t> &routes))
{
	struct manifest *a = new_manifest(1);
	struct manifest *b = new_manifest(2);
	struct manifest_delta *d;
	size_t differ = 0;

	for (size_t i = 0; i < routes.size(); i++) {
		int kind = routes[i] % 5;

		if (kind != 0)
			add_route(a, (int)i, 1000);
		if (kind != 1)
			add_route(b, (int)(i), kind == 2 ? 2000 : 1000);
		differ += kind < 3;
	}
	b->limits.body_bytes = 7;
	d = manifest_delta_between(a, 10, b, 20);
	RC_ASSERT((d == nullptr) ==
		  (differ > std::max(length(&b->routes),
				     (size_t)MANIFEST_DELTA_ROUTES_MIN)));
	if (d) {
		struct manifest *out = manifest_delta_apply(d, a);

		RC_ASSERT(d->base == 10u);
		RC_ASSERT(d->revision == 20u);
		RC_ASSERT(length(&d->removed) + length(&d->changed) == differ);
		RC_ASSERT(out != nullptr);
		RC_ASSERT(manifest_digest(out) == manifest_digest(b));
		RC_ASSERT(out->version == 2u);
		RC_ASSERT(out->limits.body_bytes == 7u);
		RC_ASSERT(length(&out->routes) == length(&b->routes));
		manifest_delete(out);
	}
	manifest_delta_unref(d);
	manifest_delete(a);
	manifest_delete(b);
}

/* Also routes that share a name, which other deltas can't tell apart. */
TEST(ManifestDelta, TheWholeManifestNeedsNoOther)
{
	struct manifest *m = new_manifest(3);
	struct manifest *out;
	struct manifest_delta *d;

	for (int i = 0; i < 500; i++)
		add_route(m, i % 400, 1000);
	d = manifest_delta_whole(m, 30);
	EXPECT_EQ(d->base, 0u);
	out = manifest_delta_apply(d, nullptr);
	ASSERT_NE(out, nullptr);
	EXPECT_EQ(length(&out->routes), 500u);
	EXPECT_EQ(manifest_digest(out), manifest_digest(m));
	manifest_delete(out);
	manifest_delta_unref(d);
	manifest_delete(m);
}

/* Removing most routes: the new document is smaller than the change. */
TEST(ManifestDelta, NoneForAChangeLargerThanTheNewManifest)
{
	struct manifest *a = new_manifest(1);
	struct manifest *b = new_manifest(2);

	for (int i = 0; i < 500; i++)
		add_route(a, i, 1000);
	for (int i = 0; i < 100; i++)
		add_route(b, i, 1000);
	EXPECT_EQ(manifest_delta_between(a, 10, b, 20), nullptr);
	manifest_delete(a);
	manifest_delete(b);
}

TEST(ManifestDelta, DoesNotApplyToAnotherManifest)
{
	struct manifest *a = new_manifest(1);
	struct manifest *b = new_manifest(2);
	struct manifest_delta *d;

	add_route(a, 1, 1000);
	add_route(b, 1, 1000);
	add_route(b, 2, 1000);
	d = manifest_delta_between(a, 10, b, 20);
	ASSERT_NE(d, nullptr);
	add_route(a, 3, 1000);
	EXPECT_EQ(manifest_delta_apply(d, a), nullptr);
	manifest_delta_unref(d);
	manifest_delete(a);
	manifest_delete(b);
}

/* Two routes of one name: removing by name would remove both. */
TEST(ManifestDelta, NoneForRoutesThatShareAName)
{
	struct manifest *a = new_manifest(1);
	struct manifest *b = new_manifest(2);

	add_route(a, 1, 1000);
	add_route(a, 1, 2000);
	add_route(b, 1, 1000);
	EXPECT_EQ(manifest_delta_between(a, 10, b, 20), nullptr);
	manifest_delete(a);
	manifest_delete(b);
}

/*
 * Guards against a change that no delta shows, and that a node then never
 * takes.
 */
TEST(ManifestDelta, EveryFieldThatALeasedFleetUsesCounts)
{
	struct manifest *m = new_manifest(1);
	struct route *r = add_route(m, 1, 1000);
	struct service *s = list_entry(m->services.next, struct service, link);
	uint64_t before = manifest_digest(m);
	std::vector<std::function<void()>> changes = {
		[&] { m->version++; },
		[&] { m->limits.header_bytes++; },
		[&] { m->limits.body_bytes++; },
		[&] { m->limits.header_timeout_ms++; },
		[&] { m->limits.idle_timeout_ms++; },
		[&] { r->name[0] = 'x'; },
		[&] { r->service[0] = 'x'; },
		[&] { r->host[0] = 'x'; },
		[&] { r->path[1] = 'x'; },
		[&] { r->split_count = 1; },
		[&] { r->priority++; },
		[&] { r->max_attempts++; },
		[&] { r->idempotent++; },
		[&] { r->timeout_ms++; },
		[&] { r->objective_ms++; },
		[&] { r->home_regions.count = 1; },
		[&] { r->invalid = true; },
		[&] { s->name[0] = 'x'; },
		[&] { s->keyed = true; },
		[&] { s->cold_per_s++; },
		[&] { s->max_connections++; },
	};

	for (size_t i = 0; i < changes.size(); i++) {
		struct route saved_route = *r;
		struct service saved_service = *s;
		struct caller_limits saved_limits = m->limits;

		changes[i]();
		EXPECT_NE(manifest_digest(m), before) << "change " << i;
		*r = saved_route;
		*s = saved_service;
		m->limits = saved_limits;
		m->version = 1;
		ASSERT_EQ(manifest_digest(m), before) << "change " << i;
	}
	manifest_delete(m);
}
