#include "common/document.h"

#include <ctype.h>
#include <errno.h>
#include <math.h>
#include <stdbool.h>
#include <string.h>

#include "common/error.h"

/* The only member of an object that stands for a number. */
#define NUMBER_MEMBER "$number"

static bool
is_beyond_limits(const char *number)
{
	if (strpbrk(number, ".eE") != NULL)
		return isinf(g_ascii_strtod(number, NULL));
	errno = 0;
	g_ascii_strtoll(number, NULL, 10);
	return errno == ERANGE;
}

/* Returns the number of bytes of the string that begins at text. */
static size_t
string_length(const char *text, size_t len)
{
	size_t i = 1;

	while (i < len && text[i] != '"')
		i += text[i] == '\\' ? 2 : 1;
	return MIN(i + 1, len);
}

static size_t
digits_length(const char *text, size_t len)
{
	size_t i = 0;

	while (i < len && isdigit((unsigned char)text[i]))
		i++;
	return i;
}

/* Returns the length of the number that text begins with; 0: none. */
static size_t
number_length(const char *text, size_t len)
{
	size_t sign = len > 0 && text[0] == '-' ? 1 : 0;
	size_t n = digits_length(text + sign, len - sign);
	size_t i = sign + n;

	if (n == 0 || (n > 1 && text[sign] == '0'))
		return 0;
	if (i < len && text[i] == '.') {
		n = digits_length(text + i + 1, len - i - 1);
		if (n == 0)
			return 0;
		i += 1 + n;
	}
	if (i < len && (text[i] == 'e' || text[i] == 'E')) {
		sign = i + 1 < len && (text[i + 1] == '-' || text[i + 1] == '+')
			   ? 1
			   : 0;
		n = digits_length(text + i + 1 + sign, len - i - 1 - sign);
		if (n == 0)
			return 0;
		i += 1 + sign + n;
	}
	return i;
}

/* Appends a number, or what stands for it. */
static void
number_append(GString *out, const char *text, size_t len)
{
	g_autofree char *number = g_strndup(text, len);

	if (is_beyond_limits(number))
		g_string_append_printf(
		    out, "{\"" NUMBER_MEMBER "\":\"%s\"}", number);
	else
		g_string_append(out, number);
}

/* Replaces numbers beyond jansson's limits. */
static GString *
large_numbers_replace(const char *text, size_t len)
{
	GString *out = g_string_sized_new(len + 64);
	size_t i = 0;

	while (i < len) {
		size_t n = number_length(text + i, len - i);

		if (n > 0) {
			number_append(out, text + i, n);
		} else {
			n = text[i] == '"' ? string_length(text + i, len - i)
					   : 1;
			g_string_append_len(out, text + i, (gssize)n);
		}
		i += n;
	}
	return out;
}

json_t *
document_read(const char *text, size_t len, GError **error)
{
	json_error_t json_error;
	json_t *root = json_loadb(text, len, JSON_ALLOW_NUL, &json_error);

	if (root == NULL &&
	    json_error_code(&json_error) == json_error_numeric_overflow) {
		g_autoptr(GString) replaced = large_numbers_replace(text, len);

		root = json_loadb(
		    replaced->str, replaced->len, JSON_ALLOW_NUL, &json_error);
	}
	if (root == NULL)
		g_set_error(error, CS_ERROR, CS_ERROR_SYNTAX, "not JSON: %s",
		    json_error.text);
	return root;
}

const char *
document_large_number(const json_t *value)
{
	if (!json_is_object(value) || json_object_size(value) != 1)
		return NULL;
	return json_string_value(json_object_get(value, NUMBER_MEMBER));
}
