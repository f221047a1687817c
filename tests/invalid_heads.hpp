// Lines that no head of an HTTP answer may have.
#ifndef JD_TESTS_INVALID_HEADS_HPP
#define JD_TESTS_INVALID_HEADS_HPP

#include <string>
#include <vector>

// Field lines without their end: names that are no token, then folded lines,
// a CR without LF, and lines without a colon or a name.
static inline std::vector<std::string> invalid_field_lines()
{
	std::vector<std::string> lines;

	for (char c : {' ', '\t', '\x01', '\x0b', '\x1f', '\x7f'})
		for (std::string name :
		     {"X-Name", "Content-Length", "Transfer-Encoding"}) {
			std::string value = name == "X-Name" ? "x"
					    : name == "Content-Length"
						    ? "2"
						    : "chunked";

			lines.push_back(name + c + ": " + value);
			lines.push_back(name.substr(0, 4) + c + name.substr(4) +
					": " + value);
			lines.push_back(c + name + ": " + value);
		}
	lines.push_back(std::string("X\0Name: x", 9));
	lines.push_back("X(Name): x");
	lines.push_back("X-N\xc3\xa4me: x");
	lines.push_back("X-One: 1\r\n folded");
	lines.push_back("X-One: 1\r\n\tfolded");
	lines.push_back("X-One: 1\rX-Two: 2");
	lines.push_back("X-Name");
	lines.push_back(": x");
	return lines;
}

#endif
