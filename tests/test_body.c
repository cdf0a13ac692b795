#include <jansson.h>
#include <string.h>

#include "common/error.h"
#include "internal.h"
#include "test.h"

static bool
reads(const char *body, body_info_t *info)
{
	g_autoptr(GError) error = NULL;
	bool ok = body_read(body, strlen(body), true, info, &error);

	ck_assert(ok == (error == NULL));
	ck_assert(ok || error->domain == CS_ERROR);
	return ok;
}

/* Guards against sending malformed bodies to a target. */
TEST(malformed_bodies_are_refused)
{
	static const char *const bodies[] = {"", "{", "[]", "1", "null",
	    "{} {}", "{\"a\":1,\"a\":2}", "{\"prompt\":\"\xff\"}",
	    "{\"max_tokens\":0}", "{\"max_tokens\":-1}",
	    "{\"max_tokens\":1000001}", "{\"max_tokens\":1.5}",
	    "{\"max_tokens\":\"9\"}", "{\"max_tokens\":null}",
	    "{\"max_tokens\":99999999999999999999}"};
	body_info_t info;

	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
		ck_assert_msg(!reads(bodies[i], &info), "%s", bodies[i]);
		ck_assert_ptr_null(info.adjusted_body);
	}
}

/* Guards against nesting that overflows the stack. */
TEST(deep_nesting_is_refused)
{
	g_autofree char *open = g_strnfill(200000, '[');
	body_info_t info;

	ck_assert(!reads(open, &info));
}

/*
 * Guards against requests that are charged less than they can use, and against
 * charging for the body's syntax, which refuses requests within the rate.
 */
TEST(cost_is_prompt_and_limit)
{
	static const struct {
		const char *body;
		int64_t prompt;
		int64_t cost;
		bool stream;
	} rows[] = {
	    {"{\"max_tokens\":100,\"stream\":true}", 1, 101, true},
	    {"{\"max_tokens\":1000000}", 1, 1000001, false},
	    {"{\"prompt\":\"12345678\",\"max_tokens\":1}", 3, 4, false},
	    {"{\"messages\":[{\"r\":\"user\"},{\"c\":\"1234567\"}],"
	     "\"prompt\":\"123\",\"max_tokens\":1}",
		5, 6, false},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		body_info_t info;

		ck_assert(reads(rows[i].body, &info));
		ck_assert_int_eq(info.prompt_tokens, rows[i].prompt);
		ck_assert_int_eq(info.cost, rows[i].cost);
		ck_assert(info.stream == rows[i].stream);
		ck_assert_ptr_null(info.adjusted_body);
	}
}

/* Guards against answers with more tokens than were reserved. */
TEST(default_limit_is_written_into_the_body)
{
	body_info_t info;
	json_t *adjusted;

	ck_assert(reads("{\"prompt\":\"p\"}", &info));
	adjusted = json_loads(info.adjusted_body, 0, NULL);
	ck_assert_str_eq(
	    json_string_value(json_object_get(adjusted, "prompt")), "p");
	ck_assert_int_eq(
	    json_integer_value(json_object_get(adjusted, "max_tokens")) +
		info.prompt_tokens,
	    info.cost);
	json_decref(adjusted);
	free(info.adjusted_body);
}

/* Guards against prompts with a common prefix routed to different targets. */
TEST(prefix_decides_the_hash)
{
	g_autofree char *start = g_strnfill(256, 'p');
	g_autofree char *one =
	    g_strdup_printf("{\"max_tokens\":1,\"prompt\":\"%s one\"}", start);
	g_autofree char *two =
	    g_strdup_printf("{\"max_tokens\":2,\"prompt\":\"%s two\"}", start);
	body_info_t a;
	body_info_t b;

	ck_assert(reads(one, &a) && reads(two, &b));
	ck_assert(a.prefix_hash == b.prefix_hash);
	ck_assert(reads("{\"max_tokens\":1,\"prompt\":\"other\"}", &b));
	ck_assert(a.prefix_hash != b.prefix_hash);
}

/* Guards against parsing the bodies of plain services as JSON. */
TEST(plain_bodies_are_not_read)
{
	body_info_t info;

	ck_assert(body_read("\0{", 2, false, &info, NULL));
	ck_assert_int_eq(info.cost, 1);
	ck_assert(body_read("", 0, false, &info, NULL));
}

/* Guards against a resumed stream that starts from the beginning. */
TEST(resume_names_the_token)
{
	const char *body = "{\"prompt\":\"p\",\"resume_from\":1}";
	char *text = body_resume(body, strlen(body), 17);
	json_t *object = json_loads(text, 0, NULL);

	ck_assert_int_eq(
	    json_integer_value(json_object_get(object, "resume_from")), 17);
	ck_assert_str_eq(
	    json_string_value(json_object_get(object, "prompt")), "p");
	json_decref(object);
	free(text);
}

TEST_MAIN("body")
