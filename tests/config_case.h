#ifndef TESTS_CONFIG_CASE_H
#define TESTS_CONFIG_CASE_H

#include <string.h>

#include "common/error.h"
#include "test.h"

/* A change to a valid text that has to be refused, and what it is told. */
typedef struct {
	const char *guards; /* the failure that the case guards against */
	const char *find;
	const char *replace;
	cs_error_t code;
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
	ck_assert_msg((*error)->code == (int)row->code, "%s: code %d",
	    row->guards, (*error)->code);
	g_clear_error(error);
}

#endif
