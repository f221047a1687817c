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
	route_set_path(r, ("/p" + std::to_string(i) + "/").c_str());
	route_set_host(r, "h.example");
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
	const std::string host = r->host, path = r->path;
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
		[&] { route_add_split(r); },
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
		if (!saved_route.split_count)
			free(r->splits);
		*r = saved_route;
		route_set_host(r, host.c_str());
		route_set_path(r, path.c_str());
		*s = saved_service;
		m->limits = saved_limits;
		m->version = 1;
		ASSERT_EQ(manifest_digest(m), before) << "change " << i;
	}
	manifest_delete(m);
}

static struct organisation *add_organisation(struct manifest *m, int i,
					     const char *key)
{
	struct organisation *o = manifest_add_organisation(m);

	m->api_keys_required = true;
	text_format(o->name, sizeof(o->name), "o-%d", i);
	organisation_add_key(o, key);
	return o;
}

/* Each organisation is absent, the same, or has another key in the second. */
RC_GTEST_PROP(ManifestDelta, CarriesTheChangesOfOrganisations,
	      (const std::vector<uint8_t> &organisations))
{
	struct manifest *a = new_manifest(1);
	struct manifest *b = new_manifest(2);
	struct manifest_delta *d;
	size_t differ = 0;

	for (size_t i = 0; i < organisations.size(); i++) {
		int kind = organisations[i] % 5;

		if (kind != 0)
			add_organisation(a, (int)i, "old");
		if (kind != 1)
			add_organisation(b, (int)i, kind == 2 ? "new" : "old");
		differ += kind < 3;
	}
	d = manifest_delta_between(a, 10, b, 20);
	RC_ASSERT((d == nullptr) ==
		  (differ > std::max(length(&b->organisations),
				     (size_t)ORGANISATIONS_DELTA_MIN)));
	if (d) {
		struct manifest *out = manifest_delta_apply(d, a);

		RC_ASSERT(length(&d->organisations.removed) +
				  length(&d->organisations.changed) ==
			  differ);
		RC_ASSERT(list_empty(&d->changed));
		RC_ASSERT(out != nullptr);
		RC_ASSERT(manifest_digest(out) == manifest_digest(b));
		RC_ASSERT(length(&out->organisations) ==
			  length(&b->organisations));
		RC_ASSERT(out->api_keys_required == b->api_keys_required);
		manifest_delete(out);
	}
	manifest_delta_unref(d);
	manifest_delete(a);
	manifest_delete(b);
}

/* A withdrawn key among 5,000 organisations with two keys each. */
TEST(ManifestDelta, OneKeyOfManyIsOneChange)
{
	struct manifest *a = new_manifest(1);
	struct manifest *b;
	struct manifest *out;
	struct manifest_delta *d;
	struct organisation *o;
	struct api_key *withdrawn;

	for (int i = 0; i < 5000; i++)
		organisation_add_key(add_organisation(a, i, "first"), "second");
	b = manifest_copy(a);
	o = list_entry(b->organisations.prev, struct organisation, link);
	withdrawn = list_entry(o->api_keys.next, struct api_key, link);
	list_remove(&withdrawn->link);
	free(withdrawn);
	d = manifest_delta_between(a, 10, b, 20);
	ASSERT_NE(d, nullptr);
	EXPECT_EQ(length(&d->organisations.changed), 1u);
	out = manifest_delta_apply(d, a);
	ASSERT_NE(out, nullptr);
	EXPECT_EQ(length(&out->organisations), 5000u);
	EXPECT_EQ(manifest_digest(out), manifest_digest(b));
	EXPECT_NE(manifest_digest(a), manifest_digest(b));
	manifest_delete(out);
	manifest_delta_unref(d);
	manifest_delete(a);
	manifest_delete(b);
}

/*
 * A delta of a build without API keys must not make a manifest that requires
 * none, whether it holds changes or all of its manifest.
 */
TEST(ManifestDelta, DoesNotApplyIfItSaysNothingOfOrganisations)
{
	struct manifest *a = new_manifest(1);
	struct manifest *b = new_manifest(2);
	struct manifest_delta *d = manifest_delta_between(a, 10, b, 20);
	struct manifest_delta *whole = manifest_delta_whole(b, 20);

	for (struct manifest_delta *it : {d, whole}) {
		struct manifest *out = manifest_delta_apply(it, a);

		EXPECT_NE(out, nullptr);
		manifest_delete(out);
		it->organisations.known = false;
		EXPECT_EQ(manifest_delta_apply(it, a), nullptr);
		manifest_delta_unref(it);
	}
	manifest_delete(a);
	manifest_delete(b);
}

/* Other builds compute the same as long as nobody uses what is new. */
TEST(ManifestDelta, DigestHoldsOrganisationsAndOpenRoutes)
{
	struct manifest *m = new_manifest(1);
	std::vector<uint64_t> seen;

	add_route(m, 1, 1000);
	seen.push_back(manifest_digest(m));
	list_entry(m->routes.next, struct route, link)->open = true;
	seen.push_back(manifest_digest(m));
	m->api_keys_required = true;
	seen.push_back(manifest_digest(m));
	struct organisation *o = add_organisation(m, 1, "key");
	seen.push_back(manifest_digest(m));
	o->has_priority = true;
	seen.push_back(manifest_digest(m));
	o->priority = 2;
	seen.push_back(manifest_digest(m));
	o->rate_per_s = 9;
	seen.push_back(manifest_digest(m));
	o->burst = 4;
	seen.push_back(manifest_digest(m));
	o->home_regions.count = 1;
	seen.push_back(manifest_digest(m));
	organisation_add_key(o, "other");
	seen.push_back(manifest_digest(m));
	std::sort(seen.begin(), seen.end());
	EXPECT_EQ(std::unique(seen.begin(), seen.end()), seen.end());
	manifest_delete(m);
}
