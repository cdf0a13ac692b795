#include <stdio.h>
#include <string.h>

#include "sse.h"
#include "test.h"

/* Longer than SSE_EVENT_LIMIT_BYTES in sse.c, up to which events are held. */
#define LONG_EVENT_BYTES ((size_t)40 * 1024)

/* Appends data in two parts; returns the complete events. */
static char *
split_at(const char *data, size_t len, size_t at, int64_t *tokens)
{
	const size_t parts[] = {at, len - at};
	sse_t sse = {0};
	GString *out = g_string_new(NULL);

	sse_reset(&sse, true);
	for (int i = 0; i < 2; i++) {
		size_t complete = sse_append(&sse, data, parts[i]);

		g_string_append_len(out, sse.pending->str, (gssize)complete);
		sse_consume(&sse, complete);
		data += parts[i];
	}
	*tokens = sse.tokens;
	sse_clear(&sse);
	return g_string_free(out, FALSE);
}

static void
check_split(const char *stream, const char *complete, int64_t tokens)
{
	size_t len = strlen(stream);

	for (size_t at = 0; at <= len; at++) {
		int64_t counted;
		g_autofree char *out = split_at(stream, len, at, &counted);

		ck_assert_msg(strcmp(out, complete) == 0, "split at %zu", at);
		ck_assert_msg(
		    counted == tokens, "split at %zu: %ld", at, (long)counted);
	}
}

/* Guards against results that depend on how the stream is split into reads. */
TEST(split_at_each_byte)
{
	const char *stream = "data: a\n\nevent: x\ndata: b\n\ndata: [DONE]\n\n";

	check_split(stream, stream, 2);
}

/* Guards against missing the events of engines that end lines with CR LF. */
TEST(carriage_returns_are_accepted)
{
	const char *stream =
	    "data: a\r\n\r\ndata: b\r\n\r\ndata: [DONE]\r\n\r\n";

	check_split(stream, stream, 2);
	check_split(
	    "data: a\r\n\ndata: b\n\r\n", "data: a\r\n\ndata: b\n\r\n", 2);
}

/* Guards against passing on an incomplete event as a complete one. */
TEST(missing_last_blank_line)
{
	sse_t sse = {0};

	check_split("data: a\n\ndata: b\n", "data: a\n\n", 1);
	check_split("data: a\n\ndata: b\r\n\r", "data: a\n\n", 1);
	check_split("data: a", "", 0);
	sse_reset(&sse, true);
	ck_assert_uint_eq(sse_append(&sse, "data: a", 7), 0);
	sse_drop_partial(&sse);
	ck_assert_uint_eq(sse_append(&sse, "data: b\n\n", 9), 9);
	ck_assert(g_str_has_prefix(sse.pending->str, "data: b"));
	sse_clear(&sse);
}

/* Guards against counting the final marker as a token. */
TEST(done_is_not_a_token)
{
	check_split("data: [DONE]\n\n", "data: [DONE]\n\n", 0);
	check_split("data: [DON]\n\n", "data: [DON]\n\n", 1);
}

/* Guards against duplicate bytes when the buffer is full. */
TEST(undo_takes_back_the_last_bytes)
{
	sse_t sse = {0};

	sse_reset(&sse, true);
	sse_append(&sse, "data: a", 7);
	sse_append(&sse, "\n\ndata", 6);
	sse_undo(&sse, 6);
	ck_assert_uint_eq(sse_append(&sse, "\n\ndata", 6), 9);
	sse_clear(&sse);
}

/*
 * Guards against memory use that grows with the length of an event, and against
 * missing the end of an event where it was split.
 */
TEST(oversized_event_is_passed_on)
{
	g_autofree char *data = g_strnfill(LONG_EVENT_BYTES, 'x');
	g_autofree char *stream =
	    g_strconcat("data: ", data, "\n\ndata: b\n\n", NULL);
	size_t len = strlen(stream);

	for (size_t at = LONG_EVENT_BYTES - 4; at <= len; at++) {
		int64_t tokens;
		g_autofree char *out = split_at(stream, len, at, &tokens);

		ck_assert_msg(strcmp(out, stream) == 0, "split at %zu", at);
		ck_assert_msg(
		    tokens == 2, "split at %zu: %ld", at, (long)tokens);
	}
}

/* Guards against counting tokens of answers that don't report them. */
TEST(usage_of_complete_answers)
{
	static const char *const without[] = {"", "{", "[]", "{\"usage\":1}",
	    "{\"usage\":{\"output_tokens\":\"7\"}}"};
	const char *with = "{\"usage\":{\"output_tokens\":7}}";
	const char *both =
	    "{\"usage\":{\"output_tokens\":7,\"prompt_tokens\":3}}";

	ck_assert_int_eq(answer_tokens(with, strlen(with), 5), 12);
	ck_assert_int_eq(answer_tokens(both, strlen(both), 5), 10);
	for (size_t i = 0; i < G_N_ELEMENTS(without); i++)
		ck_assert_int_eq(
		    answer_tokens(without[i], strlen(without[i]), 5), -1);
}

TEST_MAIN("sse")
