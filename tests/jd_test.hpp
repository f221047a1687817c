// Headers that most test programs need.
#ifndef JD_TESTS_JD_TEST_HPP
#define JD_TESTS_JD_TEST_HPP

#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <string>

#define JD_C_BEGIN extern "C" {
#define JD_C_END   }

#endif
