#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "core/hop.h"
#include "test.h"

#define NOW_S 1700000000

static const uint8_t secrets[2][HOP_SECRET_BYTES] = {{1}, {2}};
static const hop_request_t request = {"POST", "/v1/services/e/x", "body", 4};

static void
sign_header(char out[HOP_TEXT_LIMIT], const uint8_t *secret)
{
	const hop_t hop = {"s1", "parish-nitra", NOW_S, 0x1234567890abcdef};

	hop_sign(&hop, &request, secret, out, HOP_TEXT_LIMIT);
}

static bool
is_accepted(const char *text, const hop_request_t *other, int64_t now_s)
{
	return hop_verify(text, other, secrets, 2, now_s);
}

/* Guards against a header that other instances of the fleet can't parse. */
TEST(signed_header_is_accepted)
{
	char text[HOP_TEXT_LIMIT];
	hop_t hop;

	sign_header(text, secrets[0]);
	ck_assert(is_accepted(text, &request, NOW_S));
	ck_assert(hop_parse(text, &hop));
	ck_assert_str_eq(hop.sender, "s1");
	ck_assert_str_eq(hop.team, "parish-nitra");
	ck_assert_int_eq(hop.wall_s, NOW_S);
	ck_assert_uint_eq(hop.nonce, 0x1234567890abcdef);
}

/* Guards against an outage while the fleet secret is rotated. */
TEST(each_of_two_secrets_is_accepted)
{
	static const uint8_t foreign[HOP_SECRET_BYTES] = {3};
	char text[HOP_TEXT_LIMIT];

	sign_header(text, secrets[1]);
	ck_assert(is_accepted(text, &request, NOW_S));
	ck_assert(!hop_verify(text, &request, secrets, 1, NOW_S));
	ck_assert(!hop_verify(text, &request, secrets, 0, NOW_S));
	sign_header(text, foreign);
	ck_assert(!is_accepted(text, &request, NOW_S));
}

/* Guards against a header that is reused for another request. */
TEST(reused_header_is_refused)
{
	const hop_request_t other[] = {
	    {"GET", "/v1/services/e/x", "body", 4},
	    {"POST", "/v1/services/e/y", "body", 4},
	    {"POST", "/v1/services/e/x", "bodY", 4},
	    {"POST", "/v1/services/e/x", "body", 3},
	    {"POST", "/v1/services/e/x", "", 0},
	    {"POST/", "v1/services/e/x", "body", 4},
	    {"POST", "/v1/services/e/", "xbody", 5},
	};
	char text[HOP_TEXT_LIMIT];

	sign_header(text, secrets[0]);
	for (size_t i = 0; i < sizeof(other) / sizeof(other[0]); i++)
		ck_assert_msg(!is_accepted(text, &other[i], NOW_S),
		    "other request %zu", i);
}

/* Guards against bytes of the header that the MAC does not cover. */
TEST(changed_byte_is_refused)
{
	char text[HOP_TEXT_LIMIT];

	sign_header(text, secrets[0]);
	for (size_t i = 0; text[i] != '\0'; i++) {
		char original = text[i];

		for (int c = 1; c < 256; c++) {
			text[i] = (char)c;
			/* The MAC's hex digits may be upper or lower case. */
			if (text[i] != original && (text[i] | 0x20) != original)
				ck_assert_msg(
				    !is_accepted(text, &request, NOW_S),
				    "byte %zu changed to %d", i, c);
		}
		text[i] = original;
	}
}

/* Guards against headers that are used long before or after their time. */
TEST(old_and_early_headers_are_refused)
{
	char text[HOP_TEXT_LIMIT];

	sign_header(text, secrets[0]);
	ck_assert(is_accepted(text, &request, NOW_S + HOP_TOLERANCE_S));
	ck_assert(is_accepted(text, &request, NOW_S - HOP_TOLERANCE_S));
	ck_assert(!is_accepted(text, &request, NOW_S + HOP_TOLERANCE_S + 1));
	ck_assert(!is_accepted(text, &request, NOW_S - HOP_TOLERANCE_S - 1));
}

/* Guards against reads past the end and prefixes that are accepted. */
TEST(truncated_header_is_refused)
{
	char text[HOP_TEXT_LIMIT];

	sign_header(text, secrets[0]);
	for (size_t len = strlen(text); len-- > 0;) {
		text[len] = '\0';
		ck_assert_msg(!is_accepted(text, &request, NOW_S),
		    "first %zu bytes", len);
	}
}

/* Guards against buffer overruns by a long header or name. */
TEST(oversized_header_is_refused)
{
	char text[4 * HOP_TEXT_LIMIT];
	char name[NAME_LIMIT + 2];
	hop_t hop;

	sign_header(text, secrets[0]);
	g_strlcat(text, "0", sizeof(text));
	ck_assert(!is_accepted(text, &request, NOW_S));
	memset(text, 'a', sizeof(text) - 1);
	text[sizeof(text) - 1] = '\0';
	ck_assert(!is_accepted(text, &request, NOW_S));
	memset(name, 'n', sizeof(name) - 1);
	name[sizeof(name) - 1] = '\0';
	snprintf(text, sizeof(text), "h1.%s.t.1.1.%064d", name, 0);
	ck_assert(!hop_parse(text, &hop));
	snprintf(text, sizeof(text), "h1.s.%s.1.1.%064d", name, 0);
	ck_assert(!hop_parse(text, &hop));
	snprintf(text, sizeof(text), "h1.s.%s.1.1.%064d", name + 1, 0);
	ck_assert(hop_parse(text, &hop));
}

/* Guards against a header limit that is too short for the longest names. */
TEST(longest_names_fit)
{
	hop_t hop = {.wall_s = NOW_S, .nonce = UINT64_MAX};
	char text[HOP_TEXT_LIMIT];

	memset(hop.sender, 's', NAME_LIMIT);
	memset(hop.team, 't', NAME_LIMIT);
	hop_sign(&hop, &request, secrets[0], text, sizeof(text));
	ck_assert(is_accepted(text, &request, NOW_S));
}

/* Guards against fields that are read from the wrong place. */
TEST(other_number_of_fields_is_refused)
{
	char text[HOP_TEXT_LIMIT];
	hop_t hop;

	snprintf(text, sizeof(text), "h1.s.t.u.1.1.%064d", 0);
	ck_assert(!hop_parse(text, &hop));
	snprintf(text, sizeof(text), "h1.s.1.1.%064d", 0);
	ck_assert(!hop_parse(text, &hop));
	snprintf(text, sizeof(text), "h1..t.1.1.%064d", 0);
	ck_assert(!hop_parse(text, &hop));
	snprintf(text, sizeof(text), "h2.s.t.1.1.%064d", 0);
	ck_assert(!hop_parse(text, &hop));
	snprintf(text, sizeof(text), "h1.s..1.1.%064d", 0);
	ck_assert(hop_parse(text, &hop));
	ck_assert_str_eq(hop.team, "");
}

TEST_MAIN("hop")
