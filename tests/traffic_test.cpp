#include "jd_test.hpp"

extern "C" {
#include "core/load/traffic.h"
#include "core/mesh_ctx.h"
}

static struct message *forward(uint32_t attempt, size_t body)
{
	struct message *m = message_new(MSG_FORWARD);
	std::string bytes(body, 'x');

	m->u.forward.attempt = attempt;
	m->u.forward.request = http_request_new("POST", "/");
	payload_set_body(&m->u.forward.request->payload, bytes.data(), body);
	return m;
}

static enum traffic_cause take_cause(struct message *m)
{
	enum traffic_cause c = traffic_cause_of(m);

	message_delete(m);
	return c;
}

/* An upload that travels twice shows as a repeat, not as an upload. */
TEST(TrafficTest, AttemptsAreToldApart)
{
	EXPECT_EQ(take_cause(forward(1, 10)), TRAFFIC_REQUEST);
	EXPECT_EQ(take_cause(forward(1, MESH_BULK_BYTES)), TRAFFIC_UPLOAD);
	EXPECT_EQ(take_cause(forward(2, MESH_BULK_BYTES)), TRAFFIC_REPEAT);
}

TEST(TrafficTest, AnswersAndRefusalsAreToldApart)
{
	struct message *done = message_new(MSG_ANSWER);
	struct message *refused = message_new(MSG_ANSWER);

	done->u.answer.outcome = OUTCOME_DONE;
	refused->u.answer.outcome = OUTCOME_NOT_RUN;
	EXPECT_EQ(take_cause(done), TRAFFIC_ANSWER);
	EXPECT_EQ(take_cause(refused), TRAFFIC_REFUSAL);
	EXPECT_EQ(take_cause(message_new(MSG_LOAD)), TRAFFIC_LOAD);
	EXPECT_EQ(take_cause(message_new(MSG_CANCEL)), TRAFFIC_OTHER);
}

TEST(TrafficTest, CountsByDistance)
{
	struct traffic t = {};
	struct message *m = message_new(MSG_LOAD);

	traffic_add(&t, m, 70, true);
	traffic_add(&t, m, 60, false);
	traffic_add(&t, m, 30, true);
	message_delete(m);
	EXPECT_EQ(t.bytes[TRAFFIC_LOAD][true], 100u);
	EXPECT_EQ(t.messages[TRAFFIC_LOAD][true], 2u);
	EXPECT_EQ(t.bytes[TRAFFIC_LOAD][false], 60u);
}
