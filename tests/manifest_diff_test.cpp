#include "jd_test.hpp"

extern "C" {
#include "core/mem.h"
#include "io/manifest_diff.h"
}

namespace
{

struct manifest *sample_manifest()
{
	struct manifest *m = manifest_new();
	struct route *r = manifest_add_route(m);

	mem_copy_str(r->name, "a", sizeof(r->name));
	route_set_path(r, "/a/");
	r->home_regions.count = 1;
	mem_copy_str(r->home_regions.names[0], "south", JD_NAME_MAX);
	struct data_centre *d = manifest_add_data_centre(m);
	mem_copy_str(d->name, "s1", sizeof(d->name));
	return m;
}

std::string diff_lines(const struct manifest *from, const struct manifest *to)
{
	struct list changes;
	struct change *c;
	std::string all;

	list_init(&changes);
	manifest_diff(from, to, &changes);
	list_for_each_entry(c, &changes, link) {
		char *line = change_line(c);

		all += std::string(line) + "\n";
		free(line);
	}
	changes_delete(&changes);
	return all;
}

} // namespace

TEST(ManifestDiff, EqualManifestsHaveNoChanges)
{
	struct manifest *m = sample_manifest();
	struct manifest *copy = manifest_copy(m);

	mem_copy_str(copy->change_id, "another", sizeof(copy->change_id));
	EXPECT_EQ(diff_lines(m, copy), "");
	manifest_delete(copy);
	manifest_delete(m);
}

TEST(ManifestDiff, WithoutOldManifestEverythingIsAdded)
{
	struct manifest *m = sample_manifest();

	EXPECT_EQ(diff_lines(nullptr, m), "+ data_centre s1\n+ route a\n");
	manifest_delete(m);
}

TEST(ManifestDiff, ChangedFieldsOfEachTypeAreListed)
{
	struct manifest *m = sample_manifest();
	struct manifest *n = manifest_copy(m);
	struct route *r = list_entry(n->routes.next, struct route, link);
	struct data_centre *d =
		list_entry(n->data_centres.next, struct data_centre, link);

	d->state = DC_LEAVING;
	r->timeout_ms = 7;
	r->shards = 8;
	r->idempotent = 1u << METHOD_GET | 1u << METHOD_POST;
	r->home_regions.count = 2;
	mem_copy_str(r->home_regions.names[1], "north", JD_NAME_MAX);
	EXPECT_EQ(diff_lines(m, n),
		  "~ data_centre s1.state: in -> leaving\n"
		  "~ route a.shards: 16384 -> 8\n"
		  "~ route a.idempotent: GET HEAD OPTIONS PUT DELETE -> GET "
		  "POST\n"
		  "~ route a.timeout_ms: 2000 -> 7\n"
		  "~ route a.home_regions: south -> south north\n");
	manifest_delete(n);
	manifest_delete(m);
}

TEST(ManifestDiff, RenameIsAnAdditionAndARemoval)
{
	struct manifest *m = sample_manifest();
	struct manifest *n = manifest_copy(m);
	struct route *r = list_entry(n->routes.next, struct route, link);

	mem_copy_str(r->name, "b", sizeof(r->name));
	EXPECT_EQ(diff_lines(m, n), "+ route b\n- route a\n");
	manifest_delete(n);
	manifest_delete(m);
}
