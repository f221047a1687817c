#include "jd_test.hpp"

#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "core/name.h"
#include "core/types.h"
}

static std::string copy(const std::string &name, size_t cap = JD_NAME_MAX)
{
	std::vector<char> field(cap + 1, 'x');

	name_copy(field.data(), name.c_str(), cap);
	EXPECT_EQ(field[cap], 'x') << name;
	EXPECT_LT(strlen(field.data()), cap) << name;
	return field.data();
}

TEST(Name, OneThatFitsIsKept)
{
	for (size_t len : {0, 1, 24, 31}) {
		std::string name(len, 'n');

		EXPECT_EQ(copy(name), name);
	}
}

/* Cut, two names that differ late were one. */
TEST(Name, NamesThatDifferLateStayTwo)
{
	for (size_t cap : {NAME_CAP_MIN, JD_NAME_MAX, JD_NODE_NAME_MAX}) {
		for (size_t len : {cap, cap + 1, (size_t)200, (size_t)100000}) {
			std::string a(len, 'n');
			std::string b = a;

			b.back() = 'm';
			EXPECT_EQ(copy(a, cap), copy(a, cap)) << len;
			EXPECT_NE(copy(a, cap), copy(b, cap)) << len;
			EXPECT_NE(copy(a, cap), copy(a + "n", cap)) << len;
		}
	}
}

/* Other nodes, on any kind of machine, have to get the same copy. */
TEST(Name, TheCopyIsTheSameOnAllMachines)
{
	EXPECT_EQ(copy("photo-restoration-archive-previews"),
		  "photo-re~JMfCAh6LGBYNchB229lHGw");
	EXPECT_EQ(copy(std::string(64, 'n'), JD_NODE_NAME_MAX),
		  std::string(40, 'n') + "~VdcAsUt6RhLCNPPKYW5TVA");
}

TEST(Name, NoCharacterIsCutInTwo)
{
	std::string a;

	for (int i = 0; i < 20; i++)
		a += "\xc3\xa9";
	EXPECT_EQ(copy(a).substr(0, 9), "\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9~");
	EXPECT_EQ(copy("n" + a).substr(0, 8), "n\xc3\xa9\xc3\xa9\xc3\xa9~");
}

/* What follows a long id in a line of the log was cut off. */
TEST(Name, TheLogShowsALongNameAbbreviated)
{
	const std::string longest(255, 'i');

	EXPECT_EQ(name_for_log(longest.c_str()).text, longest);
	EXPECT_EQ(strlen(name_for_log((longest + "i").c_str()).text), 255u);
	EXPECT_STREQ(name_for_log(nullptr).text, "");
}

/* rapidcheck: equal copies if and only if the names are equal. */
RC_GTEST_PROP(Name, CopiesAreEqualAsNamesAre, ())
{
	auto text = rc::gen::container<std::string>(rc::gen::inRange('a', 'c'));
	std::string a = *rc::gen::resize(80, text);
	std::string b = *rc::gen::element(a, a + "a", *text);

	RC_ASSERT((copy(a) == copy(b)) == (a == b));
}
