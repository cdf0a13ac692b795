#include <string.h>

#include "core/version.h"
#include "test.h"

TEST(versions_are_compared_as_numbers)
{
	static const char *const rising[] = {VERSION_NONE, "1", "9", "10", "11",
	    "9223372036854775807", "9223372036854775808",
	    "18446744073709551616", "100000000000000000000000000000000000000"};

	for (size_t i = 0; i < sizeof(rising) / sizeof(rising[0]); i++) {
		for (size_t j = 0; j < sizeof(rising) / sizeof(rising[0]);
		     j++) {
			int sign = version_compare(rising[i], rising[j]);

			ck_assert_int_eq(
			    (sign > 0) - (sign < 0), (i > j) - (i < j));
		}
	}
}

TEST(version_is_a_whole_number_of_bounded_length)
{
	char digits[VERSION_DIGITS_MAX + 2];

	memset(digits, '7', sizeof(digits));
	digits[VERSION_DIGITS_MAX] = '\0';
	ck_assert(version_is_valid(digits));
	digits[VERSION_DIGITS_MAX] = '7';
	digits[VERSION_DIGITS_MAX + 1] = '\0';
	ck_assert(!version_is_valid(digits));
	ck_assert(version_is_valid("10"));
	ck_assert(!version_is_valid(VERSION_NONE));
	ck_assert(!version_is_valid("0"));
	ck_assert(!version_is_valid("01"));
	ck_assert(!version_is_valid("-1"));
	ck_assert(!version_is_valid("1.5"));
}

TEST_MAIN("version")
