#include "jd_test.hpp"

extern "C" {
#include "core/load/call_room.h"
}

static const uint64_t START_NS = 100 * NS_PER_S;

/* Calls of 50 ms, a fixed number of them at once. */
static void run_calls(struct call_room *r, uint32_t at_once, uint64_t *now_ns,
		      uint64_t for_ms)
{
	for (uint64_t ms = 0; ms < for_ms; ms += 50) {
		call_room_note(r, at_once, *now_ns);
		*now_ns += 50 * NS_PER_MS;
	}
}

/*
 * The load: long requests of the least urgent rank fill all slots, and each
 * call of an urgent run waits for one of them.
 */
TEST(CallRoom, SlotsStayFreeForCallsAsManyAsUsuallyRun)
{
	struct call_room r = {};
	uint64_t now_ns = START_NS;

	run_calls(&r, 2, &now_ns, 10000);
	EXPECT_EQ(call_room_free(&r, 12, now_ns), 2u) << "4 less 2 running";
	call_room_note(&r, 0, now_ns);
	EXPECT_EQ(call_room_free(&r, 12, now_ns), 4u);
	call_room_note(&r, 6, now_ns);
	EXPECT_EQ(call_room_free(&r, 12, now_ns), 0u);
}

TEST(CallRoom, CallsNeverTakeMostSlots)
{
	struct call_room r = {};
	uint64_t now_ns = START_NS;

	run_calls(&r, 12, &now_ns, 10000);
	call_room_note(&r, 0, now_ns);
	EXPECT_EQ(call_room_free(&r, 12, now_ns), 4u);
	EXPECT_EQ(call_room_free(&r, 2, now_ns), 0u);
}

TEST(CallRoom, WithoutCallsNoSlotIsKept)
{
	struct call_room r = {};
	uint64_t now_ns = START_NS;

	EXPECT_EQ(call_room_free(&r, 12, now_ns), 0u) << "after a restart";
	run_calls(&r, 3, &now_ns, 10000);
	call_room_note(&r, 0, now_ns);
	EXPECT_EQ(call_room_free(&r, 12, now_ns + 10 * NS_PER_S), 0u);
}
