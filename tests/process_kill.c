#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#include "cluster.h"

#define STREAM_TOKENS 800
#define STREAM "{\"prompt\":\"%s\",\"max_tokens\":%d,\"stream\":true}"

static cluster_t *cluster;

static http_task_t *
stream_start(node_t node, const char *key, const char *marker, int tokens)
{
	g_autofree char *body = g_strdup_printf(STREAM, marker, tokens);

	return http_start(node_url(cluster, node, GENERATE), key, NULL, body);
}

static unsigned int
arrivals_now(const char *marker)
{
	GHashTable *arrivals = cluster_arrivals(cluster);
	unsigned int n = arrivals_of(arrivals, marker);

	g_hash_table_destroy(arrivals);
	return n;
}

static void
order_repeat_is_unknown(node_t node, const char *ticket, const char *body)
{
	g_autoptr(answer_t) answer =
	    http_call(node_url(cluster, node, ORDERS), DESK_KEY, ticket, body);

	ck_assert_int_eq(answer->status, 409);
	ck_assert_str_eq(error_code(answer), "outcome_unknown");
	ck_assert_str_eq(error_ran(answer), "unknown");
}

/*
 * Guards against a killed instance that ends the streams of others, stays
 * before others in the directory, or whose orders run again at a replacement.
 */
TEST(killed_instance_harms_no_other)
{
	g_autofree char *done = ticket_take(cluster, NODE_S1);
	g_autofree char *held = ticket_take(cluster, NODE_S1);
	http_task_t *own;
	http_task_t *other;
	http_task_t *order;
	answer_t *answer;

	/* That s1 is ready reaches the others with its next heartbeat. */
	for (int node = NODE_S2; node <= NODE_Z2; node++)
		WAIT_UNTIL(!directory_names_last(cluster, (node_t)node, "s1"));
	answer = http_call(
	    node_url(cluster, NODE_S1, ORDERS), DESK_KEY, done, "tag=done");
	ck_assert_int_eq(answer->status, 201);
	answer_free(answer);
	node_control(cluster, NODE_R1, "order_ms=3000");
	order = http_start(
	    node_url(cluster, NODE_S1, ORDERS), DESK_KEY, held, "tag=held");
	own = stream_start(NODE_S1, DESK_KEY, "own", STREAM_TOKENS);
	other = stream_start(NODE_S2, DESK_KEY, "other", STREAM_TOKENS);
	WAIT_UNTIL(http_task_bytes(own) > 200 && http_task_bytes(other) > 200 &&
		   arrivals_now("tag=held") == 1);
	node_signal(cluster, NODE_S1, SIGKILL);
	node_wait(cluster, NODE_S1);
	answer = http_join(own);
	ck_assert(!answer->whole);
	answer_free(answer);
	answer = http_join(order);
	ck_assert(!answer->whole);
	answer_free(answer);
	for (int node = NODE_S2; node <= NODE_Z2; node++) {
		order_repeat_is_unknown((node_t)node, done, "tag=done");
		order_repeat_is_unknown((node_t)node, held, "tag=held");
		WAIT_UNTIL(directory_names_last(cluster, (node_t)node, "s1"));
		ck_assert(probe_status(cluster, (node_t)node, DESK_KEY) == 200);
	}
	answer = http_join(other);
	ck_assert(stream_is_whole(answer, STREAM_TOKENS));
	answer_free(answer);

	node_start(cluster, NODE_S1);
	node_wait_ready(cluster, NODE_S1);
	WAIT_UNTIL(probe_status(cluster, NODE_S1, DESK_KEY) == 200);
	for (int node = NODE_S1; node <= NODE_Z2; node++) {
		order_repeat_is_unknown((node_t)node, done, "tag=done");
		order_repeat_is_unknown((node_t)node, held, "tag=held");
	}
	ck_assert_uint_eq(arrivals_now("tag=done"), 1);
	ck_assert_uint_eq(arrivals_now("tag=held"), 1);
	node_control(cluster, NODE_R1, "order_ms=0");
}

/* Guards against tokens lost or doubled when a stream changes its target. */
TEST(stream_goes_on_when_its_target_is_killed)
{
	http_task_t *task =
	    stream_start(NODE_S2, PARISH_KEY, "resumed", STREAM_TOKENS);
	answer_t *answer;
	node_t busy;

	WAIT_UNTIL(http_task_bytes(task) > 2000);
	busy = target_busy(cluster, NODE_W1, NODE_W2);
	ck_assert_int_ne(busy, NODE_COUNT);
	node_signal(cluster, busy, SIGKILL);
	node_wait(cluster, busy);
	answer = http_join(task);
	ck_assert_msg(stream_is_whole(answer, STREAM_TOKENS), "%s",
	    answer->body->str +
		(answer->body->len > 300 ? answer->body->len - 300 : 0));
	answer_free(answer);
	/* The other target made the rest, not the whole stream. */
	ck_assert_uint_eq(arrivals_now("resumed"), 1);
	node_start(cluster, busy);
	node_wait_ready(cluster, busy);
}

/* Guards against an order that is sent to a second target or called not run. */
TEST(order_of_a_killed_target_is_unknown)
{
	g_autofree char *ticket = ticket_take(cluster, NODE_S2);
	http_task_t *order;
	answer_t *answer;

	node_control(cluster, NODE_R1, "order_ms=10000");
	order = http_start(
	    node_url(cluster, NODE_S2, ORDERS), DESK_KEY, ticket, "tag=lost");
	WAIT_UNTIL(arrivals_now("tag=lost") == 1);
	node_signal(cluster, NODE_R1, SIGKILL);
	node_wait(cluster, NODE_R1);
	answer = http_join(order);
	ck_assert_int_eq(answer->status, 502);
	ck_assert_str_eq(error_ran(answer), "unknown");
	answer_free(answer);
	for (int node = NODE_S1; node <= NODE_Z2; node++) {
		answer = http_call(node_url(cluster, (node_t)node, ORDERS),
		    DESK_KEY, ticket, "tag=lost");
		ck_assert_str_eq(error_ran(answer), "unknown");
		answer_free(answer);
	}
	ck_assert_uint_eq(arrivals_now("tag=lost"), 0);
	node_start(cluster, NODE_R1);
	node_wait_ready(cluster, NODE_R1);
}

static void
setup(void)
{
	cluster = cluster_create();
}

CLUSTER_MAIN("kill", setup)
