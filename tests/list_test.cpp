#include "jd_test.hpp"

extern "C" {
#include "core/list.h"
}

struct item {
	int value;
	struct list link;
};

TEST(List, KeepsOrderAndAllowsRemovalDuringIteration)
{
	struct list head;
	struct item items[4] = {{0, {}}, {1, {}}, {2, {}}, {3, {}}};
	struct item *it, *tmp;
	std::string seen;

	list_init(&head);
	for (auto &i : items)
		list_push_back(&head, &i.link);
	list_for_each_entry_safe(it, tmp, &head, link) {
		seen += std::to_string(it->value);
		if (it->value % 2)
			list_remove(&it->link);
	}
	EXPECT_EQ(seen, "0123");
	seen.clear();
	list_for_each_entry(it, &head, link)
		seen += std::to_string(it->value);
	EXPECT_EQ(seen, "02");
}

TEST(List, SpliceEmptiesTheSource)
{
	struct list a, b;
	struct item x = {1, {}}, y = {2, {}};

	list_init(&a);
	list_init(&b);
	list_push_back(&a, &x.link);
	list_push_back(&b, &y.link);
	list_splice_back(&a, &b);
	EXPECT_TRUE(list_empty(&b));
	EXPECT_EQ(a.next, &x.link);
	EXPECT_EQ(a.prev, &y.link);
}
