#include "http/reader.h"

#include <glib.h>
#include <string.h>

#include "test.h"

typedef struct {
	GString *log;
	GString *body;
	unsigned status;
	char target[64];
	size_t n_fields;
} record_t;

static bool
on_head(void *owner, const http_head_t *head)
{
	record_t *record = owner;

	record->status = head->status;
	record->n_fields = head->n_fields;
	g_strlcpy(record->target, "", sizeof(record->target));
	if (head->target.len > 0)
		memcpy(record->target, head->target.text,
		    MIN(head->target.len, sizeof(record->target) - 1));
	return true;
}

static void
on_body(void *owner, const uint8_t *data, size_t len)
{
	g_string_append_len(
	    ((record_t *)owner)->body, (const char *)data, (gssize)len);
}

static const http_sink_t sink = {on_head, on_body};

/* Feeds text in chunks of step bytes up to the first result but MORE. */
static http_feed_t
feed_in_steps(http_reader_t *reader, const char *text, size_t len, size_t step,
    size_t *total)
{
	http_feed_t result = HTTP_FEED_MORE;

	*total = 0;
	while (*total < len && result == HTTP_FEED_MORE) {
		size_t consumed;

		result =
		    http_reader_feed(reader, (const uint8_t *)text + *total,
			MIN(step, len - *total), &consumed);
		*total += consumed;
	}
	return result;
}

static record_t
record_create(void)
{
	return (record_t){
	    .log = g_string_new(NULL), .body = g_string_new(NULL)};
}

static void
record_clear(record_t *record)
{
	g_string_free(record->log, TRUE);
	g_string_free(record->body, TRUE);
}

/* Guards against a result that depends on how the input is split, and against
 * consuming bytes of the next message. */
TEST(result_is_independent_of_input_chunks)
{
	static const char text[] =
	    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "3\r\nabc\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n"
	    "GET /b HTTP/1.1\r\nHost: h\r\n\r\n";

	for (size_t step = 1; step < sizeof(text); step++) {
		record_t record = record_create();
		http_reader_t *reader =
		    http_reader_create(HTTP_REQUESTS, &sink, &record, 4096);
		size_t total;
		size_t next_total;

		ck_assert_int_eq(
		    feed_in_steps(reader, text, sizeof(text) - 1, step, &total),
		    HTTP_FEED_COMPLETE);
		ck_assert_str_eq(record.body->str, "abc0123456789abcdef");
		ck_assert_ptr_eq(text + total, strstr(text, "GET /b"));
		ck_assert_int_eq(
		    feed_in_steps(reader, text + total,
			sizeof(text) - 1 - total, step, &next_total),
		    HTTP_FEED_COMPLETE);
		ck_assert_str_eq(record.target, "/b");
		http_reader_destroy(reader);
		record_clear(&record);
	}
}

static void
expect_malformed(const char *text)
{
	record_t record = record_create();
	http_reader_t *reader =
	    http_reader_create(HTTP_REQUESTS, &sink, &record, 4096);
	size_t total;

	ck_assert_msg(feed_in_steps(reader, text, strlen(text), 1000, &total) ==
			  HTTP_FEED_MALFORMED,
	    "%s", text);
	http_reader_destroy(reader);
	record_clear(&record);
}

TEST(ambiguous_framing_is_rejected)
{
	static const char *const texts[] = {
	    "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n",
	    "POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\n",
	    "POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\n",
	    "POST / HTTP/1.1\r\nTransfer-Encoding: x, chunked\r\n\r\n",
	    "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n",
	    "GET / HTTP/1.1\nHost: h\r\n\r\n",
	    "GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n",
	    "GET / HTTP/1.1\r\nA : b\r\n\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		expect_malformed(texts[i]);
	expect_malformed("POST / HTTP/1.1\r\nContent-Length: 1\r\n"
			 "Transfer-Encoding: chunked\r\n\r\n");
}

/* A status is three digits from 100 to 599 (RFC 9110, 15). */
TEST(response_without_a_valid_status_is_malformed)
{
	static const char *const bad[] = {"000", "000 OK", "001 OK", "099",
	    "600 OK", "999 OK", "1000 OK", "20 OK", "2", "0200 OK", "00200 OK",
	    "2x0 OK", "-200 OK", " 200 OK", ""};

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		g_autofree char *text = g_strdup_printf(
		    "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", bad[i]);

		for (size_t step = 1; step <= strlen(text); step += 5) {
			record_t record = record_create();
			http_reader_t *reader = http_reader_create(
			    HTTP_RESPONSES, &sink, &record, 4096);
			size_t total;

			ck_assert_msg(feed_in_steps(reader, text, strlen(text),
					  step, &total) == HTTP_FEED_MALFORMED,
			    "'%s' in steps of %zu", bad[i], step);
			ck_assert_uint_eq(record.status, 0);
			http_reader_destroy(reader);
			record_clear(&record);
		}
	}
}

TEST(large_head_is_rejected_before_its_end)
{
	record_t record = record_create();
	http_reader_t *reader =
	    http_reader_create(HTTP_REQUESTS, &sink, &record, 100);
	g_autofree char *filler = g_strnfill(200, 'x');
	g_autofree char *text = g_strdup_printf("GET /%s", filler);
	size_t total;

	ck_assert_int_eq(feed_in_steps(reader, text, strlen(text), 50, &total),
	    HTTP_FEED_TOO_LARGE);
	http_reader_destroy(reader);
	record_clear(&record);
}

TEST(connection_close_completes_only_a_body_without_length)
{
	static const struct {
		const char *text;
		bool complete;
	} cases[] = {
	    {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc", true},
	    {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", false},
	    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc",
		false},
	    {"HTTP/1.1 200 OK\r\nConn", false},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		record_t record = record_create();
		http_reader_t *reader =
		    http_reader_create(HTTP_RESPONSES, &sink, &record, 4096);
		size_t total;

		ck_assert_int_eq(feed_in_steps(reader, cases[i].text,
				     strlen(cases[i].text), 7, &total),
		    HTTP_FEED_MORE);
		ck_assert_msg(http_reader_finish(reader) == cases[i].complete,
		    "case %zu", i);
		http_reader_destroy(reader);
		record_clear(&record);
	}
}

TEST(informational_responses_are_skipped_and_head_has_no_body)
{
	static const char text[] =
	    "HTTP/1.1 100 Continue\r\n\r\n"
	    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
	record_t record = record_create();
	http_reader_t *reader =
	    http_reader_create(HTTP_RESPONSES, &sink, &record, 4096);
	size_t total;

	http_reader_expect_no_body(reader);
	ck_assert_int_eq(
	    feed_in_steps(reader, text, sizeof(text) - 1, 1000, &total),
	    HTTP_FEED_COMPLETE);
	ck_assert_uint_eq(record.status, 200);
	ck_assert_uint_eq(total, sizeof(text) - 1);
	http_reader_destroy(reader);
	record_clear(&record);
}

/* Feeds one response. The caller clears the record. */
static http_feed_t
response_feed(const char *text, size_t step, record_t *record, size_t *total)
{
	http_reader_t *reader =
	    http_reader_create(HTTP_RESPONSES, &sink, record, 4096);
	http_feed_t result =
	    feed_in_steps(reader, text, strlen(text), step, total);

	http_reader_destroy(reader);
	return result;
}

/* Guards against body bytes that are reported before the head they belong to:
 * no field gives an interim response a body (RFC 9112, 6.3). */
TEST(interim_response_has_no_body_whatever_its_fields_announce)
{
	static const char *const framings[] = {"Content-Length: 4\r\n",
	    "Transfer-Encoding: chunked\r\n", "Content-Length: 0\r\n", ""};
	static const unsigned statuses[] = {100, 102, 103, 199};

	for (size_t i = 0; i < G_N_ELEMENTS(framings) * G_N_ELEMENTS(statuses);
	     i++) {
		unsigned status = statuses[i / G_N_ELEMENTS(framings)];
		const char *framing = framings[i % G_N_ELEMENTS(framings)];
		g_autofree char *sound = g_strdup_printf(
		    "HTTP/1.1 %u Interim\r\n%s\r\n"
		    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		    status, framing);
		g_autofree char *spoilt = g_strdup_printf(
		    "HTTP/1.1 %u Interim\r\n%s\r\n4\r\nhint\r\n0\r\n\r\n",
		    status, framing);

		for (size_t step = 1; step < 100; step += 33) {
			record_t record = record_create();
			size_t total;

			ck_assert_int_eq(
			    response_feed(sound, step, &record, &total),
			    HTTP_FEED_COMPLETE);
			ck_assert_uint_eq(record.status, 200);
			ck_assert_str_eq(record.body->str, "whole");
			record_clear(&record);
			record = record_create();
			ck_assert_int_eq(
			    response_feed(spoilt, step, &record, &total),
			    HTTP_FEED_MALFORMED);
			ck_assert_uint_eq(record.status, 0);
			ck_assert_str_eq(record.body->str, "");
			record_clear(&record);
		}
	}
}

/* Guards against waiting for the body that a 304 would have had as a 200. */
TEST(response_without_content_ends_with_its_head)
{
	static const unsigned statuses[] = {204, 304};

	for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
		g_autofree char *text = g_strdup_printf(
		    "HTTP/1.1 %u None\r\nContent-Length: 9\r\n\r\n",
		    statuses[i]);
		record_t record = record_create();
		size_t total;

		ck_assert_int_eq(response_feed(text, 100, &record, &total),
		    HTTP_FEED_COMPLETE);
		ck_assert_uint_eq(record.status, statuses[i]);
		ck_assert_str_eq(record.body->str, "");
		record_clear(&record);
	}
}

/* No request asks for another protocol, so none may follow. */
TEST(switch_of_protocols_is_malformed)
{
	static const char *const texts[] = {
	    "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\n"
	    "Upgrade: other\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	    "HTTP/1.1 101 Switching Protocols\r\nContent-Length: 4\r\n\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		record_t record = record_create();
		size_t total;

		ck_assert_int_eq(response_feed(texts[i], 100, &record, &total),
		    HTTP_FEED_MALFORMED);
		ck_assert_uint_eq(record.status, 0);
		record_clear(&record);
	}
}

TEST(lists_and_numbers_are_parsed_strictly)
{
	http_slice_t list = {"close, X-Own ,te", 16};
	uint64_t value;

	ck_assert(http_slice_list_has(list, "x-own"));
	ck_assert(http_slice_list_has(list, "te"));
	ck_assert(!http_slice_list_has(list, "own"));
	ck_assert(http_slice_number((http_slice_t){"120", 3}, &value));
	ck_assert_uint_eq(value, 120);
	ck_assert(!http_slice_number((http_slice_t){"", 0}, &value));
	ck_assert(!http_slice_number((http_slice_t){"1.5", 3}, &value));
	ck_assert(!http_slice_number((http_slice_t){"-1", 2}, &value));
	ck_assert(!http_slice_number(
	    (http_slice_t){"9999999999999999999", 19}, &value));
}

TEST_MAIN("http_reader")
