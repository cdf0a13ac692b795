#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#include "cluster.h"

#define STREAM_30 \
	"{\"prompt\":\"an epitaph\",\"max_tokens\":30,\"stream\":true}"
#define STREAM_LONG "{\"prompt\":\"a log\",\"max_tokens\":4000,\"stream\":true}"

static cluster_t *cluster;

static size_t
occurrences(const char *text, const char *word)
{
	size_t n = 0;

	for (text = strstr(text, word); text != NULL;
	     text = strstr(text + 1, word))
		n++;
	return n;
}

/* Orders that targets have recorded. */
static json_int_t
orders_count(void)
{
	return target_count(cluster, NODE_R1, "orders") +
	       target_count(cluster, NODE_R2, "orders");
}

/* Guards against a path that loses, doubles or reorders tokens. */
TEST(streamed_answer_is_whole)
{
	g_autoptr(answer_t) answer = http_call(
	    node_url(cluster, NODE_S1, GENERATE), PARISH_KEY, NULL, STREAM_30);

	ck_assert_int_eq(answer->status, 200);
	ck_assert(answer->whole);
	ck_assert_uint_eq(occurrences(answer->body->str, "\"index\""), 30);
	ck_assert_ptr_nonnull(strstr(answer->body->str, "\"index\":29"));
	ck_assert_ptr_nonnull(strstr(answer->body->str, "data: [DONE]"));
}

TEST(whole_json_answer_arrives)
{
	g_autoptr(answer_t) answer =
	    http_call(node_url(cluster, NODE_Z2, GENERATE), DESK_KEY, NULL,
		"{\"prompt\":\"x\",\"max_tokens\":5}");

	ck_assert_int_eq(answer->status, 200);
	ck_assert_ptr_nonnull(strstr(answer->body->str, "\"output_tokens\":5"));
}

/* Guards against work of a team with a home that starts in another region. */
TEST(home_region_is_kept)
{
	json_int_t before = target_count(cluster, NODE_W3, "requests");
	g_autoptr(answer_t) answer = http_call(
	    node_url(cluster, NODE_Z1, GENERATE), PARISH_KEY, NULL, STREAM_30);

	ck_assert_int_eq(answer->status, 421);
	ck_assert_str_eq(error_code(answer), "wrong_region");
	ck_assert_str_eq(error_ran(answer), "not_run");
	ck_assert_int_eq(target_count(cluster, NODE_W3, "requests"), before);
}

TEST(directory_names_home_instances_only)
{
	g_autoptr(answer_t) answer =
	    http_call(node_url(cluster, NODE_Z1, "/v1/directory"), PARISH_KEY,
		NULL, NULL);

	ck_assert_int_eq(answer->status, 200);
	ck_assert_ptr_nonnull(strstr(answer->body->str, "\"stred\""));
	ck_assert_ptr_null(strstr(answer->body->str, "\"zapad\""));
}

/*
 * Guards against an order that runs twice when its caller repeats it at other
 * instances, and against an answer that differs.
 */
TEST(order_runs_once)
{
	json_int_t before = orders_count();
	g_autofree char *ticket = ticket_take(cluster, NODE_S1);
	g_autofree char *first = NULL;

	for (int node = NODE_S1; node <= NODE_Z2; node++) {
		g_autoptr(answer_t) answer =
		    http_call(node_url(cluster, (node_t)node, ORDERS), DESK_KEY,
			ticket, "tag=oak-3");

		ck_assert_int_eq(answer->status, 201);
		if (first == NULL)
			first = g_strdup(answer->body->str);
		ck_assert_str_eq(answer->body->str, first);
	}
	ck_assert_int_eq(orders_count(), before + 1);
}

TEST(order_without_ticket_is_not_run)
{
	g_autoptr(answer_t) answer = http_call(
	    node_url(cluster, NODE_S2, ORDERS), DESK_KEY, NULL, "tag=oak-4");

	ck_assert_int_eq(answer->status, 428);
	ck_assert_str_eq(error_ran(answer), "not_run");
	ck_assert_ptr_nonnull(strstr(answer->body->str, "\"ticket\":\"t1."));
}

/*
 * Guards against a second send of an order by libcurl when the target closes
 * the connection after it has read the request.
 */
TEST(order_is_sent_once_when_target_closes)
{
	g_autofree char *ticket = NULL;
	json_int_t before;
	answer_t *answer;

	node_control(cluster, NODE_R1, "close_orders=1");
	node_control(cluster, NODE_R2, "close_orders=1");
	for (int i = 0; i < 5; i++) {
		g_autofree char *body = NULL;

		g_free(ticket);
		ticket = ticket_take(cluster, NODE_S1);
		before = orders_count();
		/* Different bodies: one that loses two targets is refused. */
		body = g_strdup_printf("tag=closed-%d", i);
		answer = http_call(
		    node_url(cluster, NODE_S1, ORDERS), DESK_KEY, ticket, body);
		ck_assert_int_eq(answer->status, 502);
		ck_assert_str_eq(error_ran(answer), "unknown");
		answer_free(answer);
		answer = http_call(
		    node_url(cluster, NODE_Z1, ORDERS), DESK_KEY, ticket, body);
		ck_assert_str_eq(error_ran(answer), "unknown");
		answer_free(answer);
		ck_assert_int_eq(orders_count(), before + 1);
	}
	node_control(cluster, NODE_R1, "close_orders=0");
	node_control(cluster, NODE_R2, "close_orders=0");
}

TEST(key_in_query_is_refused)
{
	g_autoptr(answer_t) answer =
	    http_call(node_url(cluster, NODE_S1, GENERATE "?api_key=x"),
		DESK_KEY, NULL, STREAM_30);

	ck_assert_int_eq(answer->status, 400);
	ck_assert_str_eq(error_code(answer), "key_in_query");
}

/* Guards against bad input that runs, leaks or harms the next request. */
TEST(bad_input_gets_clear_errors)
{
	static const struct {
		const char *path;
		const char *key;
		const char *body;
		int status;
	} rows[] = {
	    {GENERATE, DESK_KEY, "{\"prompt\":", 400},
	    {GENERATE, DESK_KEY, "{\"prompt\":1,\"prompt\":2}", 400},
	    {GENERATE, DESK_KEY, "[]", 400},
	    {GENERATE, DESK_KEY, "{\"prompt\":\"x\",\"max_tokens\":-1}", 400},
	    {GENERATE, NULL, STREAM_30, 401},
	    {GENERATE, "no-such-key", STREAM_30, 401},
	    {"/v1/services/nothing/x", DESK_KEY, STREAM_30, 404},
	    {ORDERS, PARISH_KEY, "x", 403},
	    {"/nowhere", DESK_KEY, NULL, 404},
	    {"/v1/drain", DESK_KEY, "", 404},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		g_autoptr(answer_t) answer =
		    http_call(node_url(cluster, NODE_S1, "%s", rows[i].path),
			rows[i].key, NULL, rows[i].body);

		ck_assert_msg(answer->status == rows[i].status,
		    "row %zu: %ld %s", i, answer->status, answer->body->str);
		ck_assert_str_eq(error_ran(answer), "not_run");
	}
}

TEST(large_body_is_refused_before_it_is_read)
{
	g_autofree char *body = g_strnfill((gsize)2 * 1024 * 1024, 'x');
	g_autoptr(answer_t) answer = http_call(
	    node_url(cluster, NODE_S1, GENERATE), DESK_KEY, NULL, body);

	ck_assert_int_eq(answer->status, 413);
}

/* Guards against a key that reaches a target in any header or the query. */
TEST(targets_never_see_keys)
{
	for (int node = NODE_W1; node <= NODE_R2; node++) {
		json_auto_t *record = target_record(cluster, (node_t)node);
		const char *headers =
		    json_string_value(json_object_get(record, "headers"));

		ck_assert_ptr_null(strstr(headers, "demo-"));
		ck_assert_ptr_null(strcasestr(headers, "authorization"));
		ck_assert_ptr_null(strcasestr(headers, "cookie"));
	}
}

/* Guards against a withdrawn key that keeps an open stream running. */
TEST(withdrawn_key_ends_its_stream)
{
	http_task_t *task = http_start(
	    node_url(cluster, NODE_S1, GENERATE), DESK_KEY, NULL, STREAM_LONG);
	gint64 published_at;
	answer_t *answer;

	WAIT_UNTIL(http_task_bytes(task) > 200);
	cluster->desk_key_withdrawn = true;
	cluster_publish_plans(cluster);
	published_at = g_get_monotonic_time();
	answer = http_join(task);
	ck_assert_ptr_nonnull(strstr(answer->body->str, "event: error"));
	ck_assert_ptr_nonnull(strstr(answer->body->str, "key_withdrawn"));
	/* The stated target is 2 s while the platform can be reached. */
	ck_assert_int_lt(answer->last_byte_at - published_at, 2000000);
	answer_free(answer);
	answer = http_call(
	    node_url(cluster, NODE_S1, GENERATE), DESK_KEY, NULL, STREAM_30);
	ck_assert_int_eq(answer->status, 401);
	answer_free(answer);
	cluster->desk_key_withdrawn = false;
	cluster_publish_plans(cluster);
}

static void
path_setup(void)
{
	cluster = cluster_create();
}

CLUSTER_MAIN("path", path_setup)
