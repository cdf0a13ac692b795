#ifndef TESTS_CONFIG_CASE_H
#define TESTS_CONFIG_CASE_H

#include <stdbool.h>
#include <string.h>

#include "common/error.h"
#include "test.h"

#define HASH_A \
	"00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define HASH_B \
	"ff112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

/* Short names for the tables. */
enum {
	INVALID = CS_ERROR_INVALID,
	CONFLICT = CS_ERROR_CONFLICT,
	SYNTAX = CS_ERROR_SYNTAX
};

/* A change to a valid text that has to be refused, and what it is told. */
typedef struct {
	const char *guards; /* the failure that the case guards against */
	const char *find;
	const char *replace;
	int code;	     /* a cs_error_t */
	const char *message; /* start of it */
} refusal_case_t;

/* Replaces the first occurrence, which has to be there. */
static inline char *
text_change(const char *text, const char *find, const char *replace)
{
	const char *place = strstr(text, find);

	ck_assert_msg(place != NULL, "test text has no \"%s\"", find);
	return g_strdup_printf("%.*s%s%s", (int)(place - text), text, replace,
	    place + strlen(find));
}

/* Checks the form that all messages of the config package have. */
static inline void
message_check(const GError *error, const char *guards)
{
	ck_assert_msg(error != NULL, "%s: accepted", guards);
	ck_assert_msg(error->domain == CS_ERROR, "%s: other domain", guards);
	ck_assert_msg(g_regex_match_simple("^f:[0-9]+: [^ ]+: .+; .+",
			  error->message, G_REGEX_DOTALL, 0),
	    "%s: message \"%s\"", guards, error->message);
}

static inline void
refusal_check(const refusal_case_t *row, GError **error)
{
	message_check(*error, row->guards);
	ck_assert_msg(g_str_has_prefix((*error)->message, row->message),
	    "%s: got \"%s\"", row->guards, (*error)->message);
	ck_assert_msg((*error)->code == row->code, "%s: code %d", row->guards,
	    (*error)->code);
	g_clear_error(error);
}

/* Parses a text. Returns whether it was accepted. */
typedef bool (*text_try_t)(const char *text, size_t len, GError **error);

/* Checks that each change to the valid text base is refused as told. */
static inline void
refusals_check(
    text_try_t try, const char *base, const refusal_case_t *rows, size_t n_rows)
{
	for (size_t i = 0; i < n_rows; i++) {
		g_autofree char *text =
		    text_change(base, rows[i].find, rows[i].replace);
		GError *error = NULL;

		ck_assert_msg(!try(text, strlen(text), &error), "%s: accepted",
		    rows[i].guards);
		refusal_check(&rows[i], &error);
	}
}

static inline void
prefix_check(const char *text, const char *prefix)
{
	ck_assert_msg(g_str_has_prefix(text, prefix), "%s", text);
}

#endif
