#include "jd_test.hpp"

extern "C" {
#include "core/message.h"
}

struct MessageTest : public ::testing::Test {
	struct list batch;

	MessageTest()
	{
		list_init(&batch);
	}
	~MessageTest() override
	{
		struct message *m, *tmp;

		list_for_each_entry_safe(m, tmp, &batch, link)
			message_delete(m);
	}
	void add(enum message_kind kind, uint64_t from, uint64_t id,
		 uint32_t attempt)
	{
		struct message *m = message_new(kind);

		m->from = from;
		if (kind == MSG_FORWARD) {
			m->u.forward.id.node = from;
			m->u.forward.id.counter = id;
			m->u.forward.attempt = attempt;
		} else if (kind == MSG_CANCEL) {
			m->u.cancel.id.node = from;
			m->u.cancel.id.counter = id;
			m->u.cancel.attempt = attempt;
		}
		list_push_back(&batch, &m->link);
	}
	size_t batch_size()
	{
		struct message *m;
		size_t n = 0;

		list_for_each_entry(m, &batch, link)
			n++;
		return n;
	}
};

/*
 * A busy node reads both in one batch: the caller disconnected before the
 * request was started, which must not reach the upstream.
 */
TEST_F(MessageTest, AForwardAndALaterCancelOfItAreDropped)
{
	add(MSG_FORWARD, 1, 7, 1);
	add(MSG_FORWARD, 1, 8, 1);
	add(MSG_LOAD, 1, 0, 0);
	add(MSG_CANCEL, 1, 7, 1);
	EXPECT_EQ(messages_drop_cancelled(&batch), 1u);
	EXPECT_EQ(batch_size(), 2u);
	EXPECT_EQ(list_entry(batch.next, struct message, link)
			  ->u.forward.id.counter,
		  8u);
}

TEST_F(MessageTest, ACancelOfAnotherForwardIsKept)
{
	add(MSG_CANCEL, 1, 7, 1); /* precedes the forward */
	add(MSG_FORWARD, 1, 7, 1);
	add(MSG_CANCEL, 1, 7, 2); /* another attempt */
	add(MSG_CANCEL, 2, 7, 1); /* another entry */
	EXPECT_EQ(messages_drop_cancelled(&batch), 0u);
	EXPECT_EQ(batch_size(), 4u);
}

/* Such a message from another build ended the process that got it. */
TEST(Message, AnswerWithoutAStatusIsUnknown)
{
	for (int code : {-1, 0, 99, 100, 101, 199, 600, 999}) {
		struct msg_answer a = {};

		a.outcome = OUTCOME_DONE;
		a.answer = code < 0 ? NULL : http_answer_new(code);
		EXPECT_TRUE(message_drop_invalid_answer(&a)) << code;
		EXPECT_EQ(a.outcome, OUTCOME_UNKNOWN) << code;
		EXPECT_EQ(a.refusal, REFUSAL_CONNECTION_LOST) << code;
		EXPECT_EQ(a.answer, nullptr) << code;
	}
	for (int code : {200, 404, 599}) {
		struct msg_answer a = {};

		a.outcome = OUTCOME_DONE;
		a.answer = http_answer_new(code);
		EXPECT_FALSE(message_drop_invalid_answer(&a)) << code;
		EXPECT_EQ(a.outcome, OUTCOME_DONE) << code;
		http_answer_delete(a.answer);
	}
}

/* An entry node passed on what a node of another build had let through. */
TEST(Message, AnswerWithAnInvalidFieldNameIsUnknown)
{
	for (const char *name : {"Bad Name", "Content-Length ", " Name", "",
				 "N\x01", "N\x7f", "N\t", "N\xc3\xa4", "N:"}) {
		struct msg_answer a = {};

		a.outcome = OUTCOME_DONE;
		a.answer = http_answer_new(200);
		payload_add_header(&a.answer->payload, "Sound", "x");
		payload_add_header(&a.answer->payload, name, "x");
		EXPECT_TRUE(message_drop_invalid_answer(&a)) << name;
		EXPECT_EQ(a.outcome, OUTCOME_UNKNOWN) << name;
		EXPECT_EQ(a.answer, nullptr) << name;
		http_answer_delete(a.answer);
	}
	struct msg_answer a = {};

	a.outcome = OUTCOME_DONE;
	a.answer = http_answer_new(200);
	payload_add_header(&a.answer->payload, "x-0_9.~!#$%&'*+^`|", "");
	EXPECT_FALSE(message_drop_invalid_answer(&a));
	http_answer_delete(a.answer);
}
