#include "jd_test.hpp"

#include <rapidcheck/gtest.h>

extern "C" {
#include "core/mem.h"
#include "wire/compress.h"
}

static std::string round_trip(const std::string &bytes, size_t *compressed_len)
{
	struct wire_buf b = {(unsigned char *)mem_dup(bytes.data(),
						      bytes.size()),
			     bytes.size()};
	struct wire_buf out;
	std::string text;

	wire_compress(&b);
	*compressed_len = b.len;
	EXPECT_TRUE(wire_decompress(b.data, b.len, &out));
	text.assign((char *)out.data, out.len);
	if (out.data != b.data)
		free(out.data);
	free(b.data);
	return text;
}

TEST(Compress, HeadersBecomeShorter)
{
	std::string text = "\x93";
	size_t len;

	for (int i = 0; i < 3; i++)
		text += "User-Agent sdk Accept */* Accept-Encoding identity "
			"Content-Type application/octet-stream Host a.example";
	EXPECT_EQ(round_trip(text, &len), text);
	EXPECT_LT(len, text.size() / 2);
}

RC_GTEST_PROP(Compress, RoundTripKeepsBytes, (const std::string &tail))
{
	std::string text = "\x93" + tail + tail + std::string(100, 'x');
	size_t len;

	RC_ASSERT(round_trip(text, &len) == text);
}

RC_GTEST_PROP(Compress, ArbitraryBytesAreRejectedOrDecompressed,
	      (const std::string &bytes))
{
	std::string text = std::string("\x01", 1) + bytes;
	struct wire_buf out;

	if (wire_decompress(text.data(), text.size(), &out) &&
	    out.data != (unsigned char *)text.data())
		free(out.data);
}

TEST(Compress, LengthBeyondLimitIsRejected)
{
	const unsigned char bytes[] = {1, 0xff, 0xff, 0xff, 0xff, 0, 0};
	struct wire_buf out;

	EXPECT_FALSE(wire_decompress(bytes, sizeof(bytes), &out));
}
