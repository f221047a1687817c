#include "jd_test.hpp"

#include <unistd.h>

#include <fstream>

extern "C" {
#include "core/manifest.h"
#include "io/manifest_fields.h"
#include "io/settings.h"
}

namespace
{

std::string field_value(const struct field *fd, const void *obj)
{
	char *text = field_text(fd, obj);
	std::string s = text;

	free(text);
	return s;
}

// Reads @text as a settings file into @s; returns "LINE:FIELD " per finding.
std::string read_findings(const std::string &text, struct settings *s)
{
	std::string path = std::string(JD_BINARY_DIR) + "/settings_test." +
			   std::to_string(getpid()) + ".toml";
	struct findings f;
	struct finding *it;
	std::string all;

	std::ofstream(path) << text;
	findings_init(&f);
	settings_default(s);
	settings_read(s, path.c_str(), &f);
	findings_sort(&f);
	list_for_each_entry(it, &f.items, link)
		all += std::to_string(it->line) + ":" + it->field + " ";
	findings_done(&f);
	return all;
}

} // namespace

TEST(Settings, DocumentedDefaultsMatchSettings)
{
	struct settings s;

	settings_default(&s);
	for (size_t i = 0; i < settings_table.count; i++) {
		const struct field *fd = &settings_table.fields[i];

		ASSERT_NE(fd->default_text, nullptr) << fd->name;
		EXPECT_EQ(field_value(fd, &s), fd->default_text) << fd->name;
	}
}

TEST(Settings, DocumentedDefaultsMatchManifest)
{
	struct manifest *m = manifest_new();

	for (int k = 0; k < SECTION_COUNT; k++) {
		const struct field_table *ft = &manifest_sections[k];
		void *obj =
			manifest_add(m, static_cast<enum manifest_section>(k));

		for (size_t i = 0; i < ft->count; i++) {
			const struct field *fd = &ft->fields[i];

			if (!fd->default_text)
				continue;
			std::string got = field_value(fd, obj);
			EXPECT_EQ(got.empty() ? "any" : got, fd->default_text)
				<< ft->name << "." << fd->name;
		}
	}
	manifest_delete(m);
}

TEST(Settings, AllFindingsAreReportedWithPositions)
{
	struct settings s;

	EXPECT_EQ(
		read_findings("name = \"a b\"\nsize = 3\nheartbeat_ms = \"x\"\n"
			      "store_addr = \"here\"\n[more]\nx = 1\n",
			      &s),
		"1:name 2:size 3:heartbeat_ms 4:store_addr 5:more 6:more.x ");
}

TEST(Settings, TimesBelowTwoHeartbeatsAreRejected)
{
	struct settings s;

	EXPECT_EQ(read_findings("heartbeat_ms = 1000\n", &s),
		  "0:lease_ms 0:detect_ms ");
	EXPECT_EQ(read_findings("heartbeat_ms = 300\nlease_ms = 2000\n", &s),
		  "");
	EXPECT_EQ(s.lease_ms, 2000u);
}

TEST(Settings, MissingFileIsAFinding)
{
	struct findings f;
	struct settings s;

	findings_init(&f);
	settings_default(&s);
	settings_read(&s, "/nowhere/at/all", &f);
	EXPECT_EQ(f.count, 1);
	findings_done(&f);
}
