#include "core/version.h"

#include <glib.h>
#include <string.h>

int
version_compare(const char *a, const char *b)
{
	size_t a_len = strlen(a);
	size_t b_len = strlen(b);

	if (a_len != b_len)
		return a_len < b_len ? -1 : 1;
	return strcmp(a, b);
}

bool
version_is_valid(const char *text)
{
	size_t len = strlen(text);

	return len > 0 && len <= VERSION_DIGITS_MAX && text[0] != '0' &&
	       strspn(text, "0123456789") == len;
}
