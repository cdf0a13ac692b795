#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "cluster.h"
#include "sockets.h"

#define PATH "/v1/services/epitaph-writer/generate"
#define BODY "{\"prompt\":\"x\",\"max_tokens\":5}"
#define HOST "Host: a\r\n"
#define KEY "Authorization: Bearer " DESK_KEY "\r\n"
#define POST "POST " PATH " HTTP/1.1\r\n" HOST
#define SHORT_POST POST KEY "Content-Length: 29\r\n\r\n" BODY

/* An instance closes idle connections later than this. */
#define ANSWER_WAIT_MS 5000

static cluster_t *cluster;

/* Reads until the end of the connection, or until this many heads came. */
static GString *
answers_read(int fd, unsigned int heads)
{
	GString *text = g_string_new(NULL);
	char part[4096];
	ssize_t n;

	for (;;) {
		struct pollfd wait = {.fd = fd, .events = POLLIN};
		unsigned int seen = 0;

		for (const char *at = text->str;
		     (at = strstr(at, "\r\n\r\n")) != NULL; at++)
			seen++;
		if (heads > 0 && seen >= heads)
			break;
		if (poll(&wait, 1, ANSWER_WAIT_MS) <= 0)
			break;
		n = recv(fd, part, sizeof(part), 0);
		if (n <= 0)
			break;
		g_string_append_len(text, part, n);
	}
	return text;
}

/* Sends bytes on a new connection; returns what comes back. */
static GString *
raw_call(const char *data, size_t len, bool half_close, unsigned int heads)
{
	int fd = loopback_connect(cluster->ports[NODE_S1]);
	GString *text;

	send(fd, data, len, MSG_NOSIGNAL);
	if (half_close)
		shutdown(fd, SHUT_WR);
	text = answers_read(fd, heads);
	close(fd);
	return text;
}

static int
status_of(const GString *text)
{
	int status = 0;

	if (sscanf(text->str, "HTTP/1.1 %d", &status) != 1)
		return 0;
	return status;
}

static void
check_next_request(void)
{
	g_autoptr(answer_t) answer =
	    http_call(node_url(cluster, NODE_S1, PATH), DESK_KEY, NULL, BODY);

	ck_assert_int_eq(answer->status, 200);
	ck_assert(answer->whole);
}

/* Guards against requests that are read in two ways, and against input that
 * breaks the connection of another caller. 0 is a close without an answer. */
START_TEST(malformed_heads_are_refused)
{
	g_autofree char *filler = g_strnfill((gsize)64 * 1024, 'a');
	g_autofree char *long_header =
	    g_strconcat(POST KEY "X-Long: ", filler, "\r\n\r\n", NULL);
	g_autofree char *long_path =
	    g_strconcat("GET /", filler, " HTTP/1.1\r\n" HOST "\r\n", NULL);
	g_autofree char *long_key = g_strconcat(
	    POST "Authorization: Bearer ", filler, "\r\n\r\n", NULL);
	const struct {
		const char *name;
		const char *data;
		int statuses[3];
	} rows[] = {
	    {"long header", long_header, {431, 413, 0}},
	    {"long path", long_path, {414, 431, 0}},
	    {"long key", long_key, {431, 413, 0}},
	    {"bare line feed in a header",
		POST "X-A: b\nAuthorization: Bearer x\r\n"
		     "Content-Length: 29\r\n\r\n" BODY,
		{400, 401, 0}},
	    {"coding and length",
		POST KEY "Transfer-Encoding: chunked\r\n"
			 "Content-Length: 29\r\n\r\n0\r\n\r\n",
		{400, 400, 0}},
	    {"length that is no number",
		POST KEY "Content-Length: 2x\r\n\r\n{}", {400, 400, 0}},
	    {"two lengths",
		POST KEY "Content-Length: 29\r\nContent-Length: 5\r\n\r\n" BODY,
		{400, 400, 0}},
	    {"no host", "POST " PATH " HTTP/1.1\r\n\r\n", {400, 400, 0}},
	    {"no HTTP", "\x16\x03\x01\r\n\r\n", {400, 505, 0}},
	};
	json_int_t before = target_count(cluster, NODE_W1, "requests");

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		g_autoptr(GString) text =
		    raw_call(rows[i].data, strlen(rows[i].data), true, 0);
		int status = status_of(text);

		ck_assert_msg(status == rows[i].statuses[0] ||
				  status == rows[i].statuses[1] ||
				  status == rows[i].statuses[2],
		    "%s: %s", rows[i].name, text->str);
	}
	ck_assert_int_eq(target_count(cluster, NODE_W1, "requests"), before);
	check_next_request();
}
END_TEST

/*
 * Guards against header bytes that are not read: libmicrohttpd ends a value at
 * a NUL byte, and joins a folded line to the header's name.
 */
START_TEST(hidden_header_bytes_are_refused)
{
#define HEAD_ROW(text)                 \
	{                              \
		text, sizeof(text) - 1 \
	}
	static const struct {
		const char *data;
		size_t len;
	} rows[] = {
	    HEAD_ROW(
		POST "X-A: b\0c\r\n" KEY "Content-Length: 29\r\n\r\n" BODY),
	    HEAD_ROW(POST "X-A: b\0\r\n" KEY "Content-Length: 29\r\n\r\n" BODY),
	    HEAD_ROW(POST KEY "Content-Length: 29\r\nX-A: b\0c\r\n\r\n" BODY),
	    HEAD_ROW(
		POST "X-A: b\r\n  c\r\n" KEY "Content-Length: 29\r\n\r\n" BODY),
	};
	json_int_t before = target_count(cluster, NODE_W1, "requests");

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		GString *text = raw_call(rows[i].data, rows[i].len, true, 0);

		ck_assert_msg(status_of(text) == 400, "%zu: %s", i, text->str);
		ck_assert_ptr_nonnull(strstr(text->str, "\"not_run\""));
		g_string_free(text, TRUE);
	}
	ck_assert_int_eq(target_count(cluster, NODE_W1, "requests"), before);
	check_next_request();
}
END_TEST

/* Guards against a refusal of blanks round a value and of empty values. */
START_TEST(odd_blanks_are_accepted)
{
	static const char data[] =
	    POST "X-A:\r\nX-B:c\r\nX-C:  \t d \t \r\n" KEY
		 "Content-Length: 29\r\nCookie: a=b; c=d\r\n"
		 "Connection: close\r\n\r\n" BODY;
	GString *text = raw_call(data, sizeof(data) - 1, false, 0);

	ck_assert_msg(status_of(text) == 200, "%s", text->str);
	g_string_free(text, TRUE);
}
END_TEST

/* Guards against a body that is cut off and sent on as if it were whole. */
START_TEST(truncated_body_is_not_sent_on)
{
	static const char data[] = POST KEY "Content-Length: 99\r\n\r\n" BODY;
	json_int_t before = target_count(cluster, NODE_W1, "requests");
	GString *text = raw_call(data, sizeof(data) - 1, true, 0);

	ck_assert_int_ne(status_of(text), 200);
	g_string_free(text, TRUE);
	check_next_request();
	ck_assert_int_eq(
	    target_count(cluster, NODE_W1, "requests"), before + 1);
}
END_TEST

/* Guards against a second request on a connection that gets the first one's
 * answer, or none. */
START_TEST(pipelined_requests_are_answered_in_order)
{
	static const char data[] = SHORT_POST "GET /healthz HTTP/1.1\r\n" HOST
					      "Connection: close\r\n\r\n";
	GString *text = raw_call(data, sizeof(data) - 1, false, 0);
	const char *second = strstr(text->str + 1, "HTTP/1.1 200");

	ck_assert_int_eq(status_of(text), 200);
	ck_assert_ptr_nonnull(second);
	ck_assert_ptr_null(strstr(second + 1, "HTTP/1.1"));
	g_string_free(text, TRUE);
	check_next_request();
}
END_TEST

/* Guards against a second value that is joined to the first or replaces it. */
START_TEST(repeated_headers_do_not_join)
{
	static const char keys[] =
	    POST "Authorization: Bearer no-such-key\r\n" KEY
		 "Connection: close\r\nContent-Length: 29\r\n\r\n" BODY;
	g_autofree char *ticket = ticket_take(cluster, NODE_S1);
	g_autofree char *order = g_strdup_printf(
	    "POST " ORDERS " HTTP/1.1\r\n" HOST KEY "Idempotency-Key: %s\r\n"
	    "Idempotency-Key: t1.other\r\nConnection: close\r\n"
	    "Content-Length: 1\r\n\r\nx",
	    ticket);
	json_int_t before = target_count(cluster, NODE_R1, "orders");
	GString *text = raw_call(keys, sizeof(keys) - 1, false, 0);
	int status = status_of(text);

	ck_assert_msg(status == 401 || status == 400, "%s", text->str);
	g_string_free(text, TRUE);
	text = raw_call(order, strlen(order), false, 0);
	status = status_of(text);
	ck_assert_msg(status == 201 || status == 400, "%s", text->str);
	ck_assert_int_eq(
	    target_count(cluster, NODE_R1, "orders"), before + (status == 201));
	g_string_free(text, TRUE);
	check_next_request();
}
END_TEST

/* Guards against methods that reach a target unchecked. */
START_TEST(other_methods_are_refused)
{
	static const char *const methods[] = {
	    "PUT", "DELETE", "OPTIONS", "TRACE", "CONNECT", "BREW"};
	json_int_t before = target_count(cluster, NODE_W1, "requests");

	for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
		g_autofree char *data =
		    g_strdup_printf("%s " PATH " HTTP/1.1\r\n" HOST KEY
				    "Connection: close\r\n\r\n",
			methods[i]);
		g_autoptr(GString) text =
		    raw_call(data, strlen(data), false, 0);

		ck_assert_msg(status_of(text) == 405, "%s", text->str);
	}
	ck_assert_int_eq(target_count(cluster, NODE_W1, "requests"), before);
	check_next_request();
}
END_TEST

/* Guards against an answer to HEAD with a body, which the caller would read as
 * the start of the next answer. */
START_TEST(head_has_no_body)
{
	static const char data[] =
	    "HEAD /v1/services/tag-registry/trees/oak HTTP/1.1\r\n" HOST KEY
	    "Connection: close\r\n\r\n";
	GString *text = raw_call(data, sizeof(data) - 1, false, 0);
	const char *end = strstr(text->str, "\r\n\r\n");

	ck_assert_int_ne(status_of(text), 0);
	ck_assert_ptr_nonnull(end);
	ck_assert_str_eq(end, "\r\n\r\n");
	g_string_free(text, TRUE);
	check_next_request();
}
END_TEST

/* Guards against callers that wait for a go-ahead that never comes. */
START_TEST(expect_continue_is_answered)
{
	static const char head[] =
	    POST KEY "Connection: close\r\nExpect: 100-continue\r\n"
		     "Content-Length: 29\r\n\r\n";
	int fd = loopback_connect(cluster->ports[NODE_S1]);
	GString *text;

	send(fd, head, sizeof(head) - 1, MSG_NOSIGNAL);
	text = answers_read(fd, 1);
	ck_assert_int_eq(status_of(text), 100);
	g_string_free(text, TRUE);
	send(fd, BODY, sizeof(BODY) - 1, MSG_NOSIGNAL);
	text = answers_read(fd, 0);
	ck_assert_int_eq(status_of(text), 200);
	g_string_free(text, TRUE);
	close(fd);
	check_next_request();
}
END_TEST

/* Guards against requests that are left open: a stop waits for all of them. */
START_TEST(nothing_is_left_open)
{
	node_signal(cluster, NODE_S1, SIGTERM);
	ck_assert_int_eq(node_wait(cluster, NODE_S1), 0);
}
END_TEST

static void
input_setup(void)
{
	static const node_t nodes[] = {
	    NODE_PLATFORM, NODE_W1, NODE_R1, NODE_S1, NODE_S2};

	cluster = cluster_prepare();
	for (int node = NODE_Z1; node < NODE_PLATFORM; node++)
		cluster->absent[node] = node != NODE_W1 && node != NODE_R1;
	cluster_publish_fleet(cluster);
	for (size_t i = 0; i < G_N_ELEMENTS(nodes); i++)
		node_start(cluster, nodes[i]);
	for (size_t i = 1; i < G_N_ELEMENTS(nodes); i++)
		node_wait_ready(cluster, nodes[i]);
}

static void
input_teardown(void)
{
	cluster_destroy(cluster);
}

/* A case with instances of its own. CK_RUN_CASE=name runs only that one. */
static TCase *
case_add(Suite *suite, const char *name)
{
	TCase *tcase = tcase_create(name);

	tcase_add_unchecked_fixture(tcase, input_setup, input_teardown);
	tcase_set_timeout(tcase, CASE_TIMEOUT_S);
	suite_add_tcase(suite, tcase);
	return tcase;
}

int
main(void)
{
	Suite *suite = suite_create("input");
	TCase *tcase = case_add(suite, "input");

	tcase_add_test(tcase, malformed_heads_are_refused);
	tcase_add_test(tcase, hidden_header_bytes_are_refused);
	tcase_add_test(tcase, odd_blanks_are_accepted);
	tcase_add_test(tcase, truncated_body_is_not_sent_on);
	tcase_add_test(tcase, pipelined_requests_are_answered_in_order);
	tcase_add_test(tcase, repeated_headers_do_not_join);
	tcase_add_test(tcase, other_methods_are_refused);
	tcase_add_test(tcase, head_has_no_body);
	tcase_add_test(tcase, expect_continue_is_answered);
	/* process_input_stop: the same, and then a stop. */
	if (getenv("TEST_STOP") != NULL)
		tcase_add_test(tcase, nothing_is_left_open);
	return test_suite_run(suite);
}
