#include "jd_test.hpp"

#include <string>

#include "invalid_heads.hpp"

extern "C" {
#include "io/answer_head.h"
}

static enum answer_head_state read_whole(const std::string &text)
{
	struct answer_head s;

	answer_head_reset(&s);
	answer_head_read(&s, text.data(), text.size());
	return s.state;
}

/* The same, one byte at a time. */
static enum answer_head_state read_bytes(const std::string &text)
{
	struct answer_head s;

	answer_head_reset(&s);
	for (char c : text)
		answer_head_read(&s, &c, 1);
	EXPECT_EQ(s.why != nullptr, s.state == ANSWER_HEAD_INVALID);
	return s.state;
}

static const std::string INTERIM =
	"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";

TEST(AnswerHead, FinalStatusIsFound)
{
	for (std::string text :
	     {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200\r\n\r\n",
	      "HTTP/1.0 599\n\n", "\r\n\r\nHTTP/1.1 404 \r\n\r\n",
	      "HTTP/1.1  204 \n\r\n", "HTTP/1.1 200 \x80\xff\r\n\n"})
		for (std::string before :
		     {std::string(), INTERIM,
		      INTERIM + "HTTP/1.1 100\n\n" + INTERIM}) {
			EXPECT_EQ(read_whole(before + text),
				  ANSWER_HEAD_COMPLETE)
				<< before + text;
			EXPECT_EQ(read_bytes(before + text),
				  ANSWER_HEAD_COMPLETE)
				<< before + text;
		}
}

TEST(AnswerHead, OtherBytesAreInvalid)
{
	for (std::string text :
	     {"HTTP/1.1 000 ",	"HTTP/1.1 099 ",  "HTTP/1.1 101 ",
	      "HTTP/1.1 600 ",	"HTTP/1.1 999 ",  "HTTP/1.1 1000 ",
	      "HTTP/1.1 20 ",	"HTTP/1.1 2x0 ",  "HTTP/1.1 200x",
	      "HTTP/1.1 0200",	"HTTP/1.1 +200 ", "HTTP/1.1 -200 ",
	      "HTTP/1.1\t200 ", "HTTP/1.1 200\t", "HTTP/1.1 \r\n",
	      "HTTP/1.1\r\n",	"HTTP/1. 200 ",	  "HTTP/11 200 ",
	      "HTTP/2 200 ",	"HTTP/0.9 200 ",  "http/1.1 200 ",
	      "ICY 200 ",	"200 ",		  "\xff"})
		for (std::string before : {std::string(), INTERIM}) {
			EXPECT_EQ(read_whole(before + text),
				  ANSWER_HEAD_INVALID)
				<< before + text;
			EXPECT_EQ(read_bytes(before + text),
				  ANSWER_HEAD_INVALID)
				<< before + text;
		}
}

TEST(AnswerHead, InterimAnswersAreBounded)
{
	std::string text;

	for (int i = 0; i < 16; i++)
		text += INTERIM;
	EXPECT_EQ(read_whole(text + "HTTP/1.1 200 \r\n\r\n"),
		  ANSWER_HEAD_COMPLETE);
	EXPECT_EQ(read_whole(text + INTERIM), ANSWER_HEAD_INVALID);
}

TEST(AnswerHead, FieldNamesAreTokens)
{
	for (std::string line : {"X: x", "X:", "x-0_9.~!#$%&'*+^`|: \ta:b\t",
				 "X: \x80\xff", "X: 1\r\nY : 2", "X: 1\nY: 2"})
		for (std::string before : {std::string(), INTERIM}) {
			std::string head = before + "HTTP/1.1 200 OK\r\n" +
					   line + "\r\n\r\n";
			bool valid = line.find("Y :") == line.npos;

			EXPECT_EQ(read_whole(head), valid ? ANSWER_HEAD_COMPLETE
							  : ANSWER_HEAD_INVALID)
				<< head;
			EXPECT_EQ(read_bytes(head), read_whole(head)) << head;
		}
	for (const std::string &line : invalid_field_lines())
		for (std::string start :
		     {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 103 Early Hints\r\n"}) {
			std::string head = start + line + "\r\n\r\n";

			EXPECT_EQ(read_whole(head), ANSWER_HEAD_INVALID)
				<< head;
			EXPECT_EQ(read_bytes(head), ANSWER_HEAD_INVALID)
				<< head;
		}
}

/* What follows the head is not looked at. */
TEST(AnswerHead, BodyIsNoPartOfIt)
{
	EXPECT_EQ(read_whole("HTTP/1.1 200 OK\r\nX: x\r\n"),
		  ANSWER_HEAD_FIELD_NAME);
	EXPECT_EQ(read_whole("HTTP/1.1 200 OK\r\nX: x\r\n\r\n\r no field\r"),
		  ANSWER_HEAD_COMPLETE);
}
