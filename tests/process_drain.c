#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "cluster.h"

#define STREAM_TOKENS 200
#define LEAVING_LIMIT_US G_GINT64_CONSTANT(3000000)

static cluster_t *cluster;

/* Time of the last arrival at a target, monotonic microseconds. */
static gint64
last_arrival(node_t node)
{
	json_t *record = target_record(cluster, node);
	json_t *arrivals = json_object_get(record, "arrivals");
	gint64 at = json_integer_value(json_array_get(
	    json_array_get(arrivals, json_array_size(arrivals) - 1), 0));

	json_decref(record);
	return at;
}

static void
whole_or_refused(const GArray *results, bool draining)
{
	for (guint i = 0; i < results->len; i++) {
		const load_result_t *result =
		    &g_array_index(results, load_result_t, i);

		ck_assert_msg(result->whole ||
				  (draining && result->node == NODE_S1 &&
				      (strcmp(result->code, "draining") == 0 ||
					  result->status == 0)),
		    "%s at %s: %ld %s", result->marker,
		    node_names[result->node], result->status, result->code);
	}
}

/*
 * Guards against new work at a target that leaves, later than 3 s after the
 * list said so, and against running work that is cut off there.
 */
TEST(leaving_target_ends_its_work)
{
	load_spec_t spec = {
	    DESK_KEY, "leave", 0xf, 24, 20, STREAM_TOKENS, true};
	load_t *load = load_start(cluster, &spec);
	GArray *results;
	gint64 published_at;

	WAIT_UNTIL(target_count(cluster, NODE_W1, "in_flight") > 0 &&
		   load_count(load) > 50);
	cluster->leaving[NODE_W1] = true;
	cluster_publish_fleet(cluster);
	published_at = g_get_monotonic_time();
	WAIT_UNTIL(
	    g_get_monotonic_time() > published_at + 2 * LEAVING_LIMIT_US &&
	    cluster_has_list(cluster, FLEET));
	ck_assert_int_eq(target_count(cluster, NODE_W1, "in_flight"), 0);
	results = load_stop(load);
	printf("leaving target: last new work %.3f s after publication, %u "
	       "streams\n",
	    (double)(last_arrival(NODE_W1) - published_at) / 1e6, results->len);
	ck_assert_int_lt(
	    last_arrival(NODE_W1), published_at + LEAVING_LIMIT_US);
	whole_or_refused(results, false);
	engines_check_none(cluster, "cancelled");
	engines_check_none(cluster, "above_slots");
	g_array_free(results, TRUE);
	cluster->leaving[NODE_W1] = false;
	cluster_publish_fleet(cluster);
	WAIT_UNTIL(cluster_has_list(cluster, FLEET));
}

/*
 * Guards against a planned stop that cuts off requests, keeps being ready or
 * takes new work, or that does not name the instances to use.
 */
TEST(stopped_instance_ends_its_work)
{
	load_spec_t spec = {DESK_KEY, "stop", 0xf, 24, 20, STREAM_TOKENS, true};
	http_task_t *long_stream;
	load_t *load;
	g_autoptr(GArray) results = NULL;
	answer_t *answer;
	int status;

	long_stream = http_start(node_url(cluster, NODE_S1, GENERATE), DESK_KEY,
	    NULL, "{\"prompt\":\"long\",\"max_tokens\":1500,\"stream\":true}");
	load = load_start(cluster, &spec);
	WAIT_UNTIL(http_task_bytes(long_stream) > 200 && load_count(load) > 50);
	node_signal(cluster, NODE_S1, SIGTERM);
	WAIT_UNTIL(instance_counter(
		       cluster, NODE_S1, "refusals{reason=\"draining\"}") > 0);
	answer =
	    http_call(node_url(cluster, NODE_S1, "/readyz"), NULL, NULL, NULL);
	ck_assert_int_eq(answer->status, 503);
	answer_free(answer);
	answer = http_call(node_url(cluster, NODE_S1, GENERATE), DESK_KEY, NULL,
	    "{\"prompt\":\"refused\",\"max_tokens\":1}");
	ck_assert_int_eq(answer->status, 503);
	ck_assert_str_eq(error_code(answer), "draining");
	ck_assert_str_eq(error_ran(answer), "not_run");
	for (int node = NODE_S2; node <= NODE_Z2; node++) {
		g_autofree char *place =
		    g_strdup_printf("127.0.0.1:%d", cluster->ports[node]);

		ck_assert_ptr_nonnull(strstr(answer->body->str, place));
	}
	answer_free(answer);
	answer = http_join(long_stream);
	ck_assert(stream_is_whole(answer, 1500));
	answer_free(answer);
	/* The platform drops the instance from its list. */
	cluster->absent[NODE_S1] = true;
	cluster_publish_fleet(cluster);
	status = node_wait(cluster, NODE_S1);
	ck_assert(WIFEXITED(status));
	ck_assert_int_eq(WEXITSTATUS(status), 0);
	results = load_stop(load);
	whole_or_refused(results, true);
	results_check_not_run(cluster, results);
	engines_check_none(cluster, "cancelled");
	engines_check_none(cluster, "above_slots");
}

static void
setup(void)
{
	cluster = cluster_prepare();
	/* Fewer slots than callers, so that each slot is used. */
	cluster->engine_slots = 6;
	cluster_publish_fleet(cluster);
	cluster_start(cluster);
}

CLUSTER_MAIN("drain", setup)
