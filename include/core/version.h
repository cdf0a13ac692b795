#ifndef CORE_VERSION_H
#define CORE_VERSION_H

#include <stdbool.h>

/*
 * Version of the configuration: a positive whole number, which is only compared
 * and passed on. Operators choose it, and JSON sets no limit to a number, so it
 * is kept as its decimal digits. VERSION_NONE is lower than any other.
 */
#define VERSION_NONE ""

/* Enough for any whole number that a double can hold. */
#define VERSION_DIGITS_MAX 320

/* Negative, 0 or positive like strcmp(3): a is lower, equal or higher. */
int version_compare(const char *a, const char *b);

/*
 * Returns whether the text is 1 to VERSION_DIGITS_MAX digits without a leading
 * zero. VERSION_NONE isn't.
 */
bool version_is_valid(const char *text);

#endif
