#include <pthread.h>
#include <signal.h>
#include <string.h>

#include "cluster.h"

/* A new owner waits about 40 s for the fence and 20 s for commands. */
#define REACH_LIMIT_US ((gint64)150 * G_USEC_PER_SEC)

static cluster_t *cluster;

/* A caller that sends one request after the other. */
typedef struct {
	pthread_t thread;
	char *url;
	gint stopping;
	unsigned int n_answered, n_failed;
} caller_t;

static void *
caller_run(void *user)
{
	caller_t *caller = user;

	while (g_atomic_int_get(&caller->stopping) == 0) {
		answer_t *answer = http_call(caller->url, DESK_KEY, NULL,
		    "{\"prompt\":\"x\",\"max_tokens\":5}");

		if (answer->status == 200)
			caller->n_answered++;
		else
			caller->n_failed++;
		answer_free(answer);
		g_usleep(20000);
	}
	return NULL;
}

static json_t *
engine_state(node_t node)
{
	answer_t *answer =
	    http_call(node_url(cluster, node, "/state"), NULL, NULL, NULL);
	json_t *state = json_loads(answer->body->str, 0, NULL);

	ck_assert_ptr_nonnull(state);
	answer_free(answer);
	return state;
}

static bool
engine_is_at(node_t node, const char *version)
{
	json_t *state = engine_state(node);
	const char *is = json_string_value(json_object_get(state, "version"));
	const char *role = json_string_value(json_object_get(state, "role"));
	size_t n_adapters = json_array_size(json_object_get(state, "adapters"));
	bool at = g_str_equal(is, version) && g_str_equal(role, "draft") &&
		  n_adapters == (node == NODE_W3 ? 0 : 1);

	json_decref(state);
	return at;
}

static json_int_t
engine_number(node_t node, const char *name)
{
	json_t *state = engine_state(node);
	const json_t *value = json_object_get(state, name);
	json_int_t number = json_is_true(value) ? 1 : json_integer_value(value);

	json_decref(state);
	return number;
}

static void
engines_wait(const char *version)
{
	gint64 limit = g_get_monotonic_time() + REACH_LIMIT_US;

	while (!engine_is_at(NODE_W1, version) ||
	       !engine_is_at(NODE_W2, version) ||
	       !engine_is_at(NODE_W3, version)) {
		ck_assert_msg(g_get_monotonic_time() < limit,
		    "engines did not reach version %s", version);
		g_usleep(50000);
	}
}

/* Guards against a published version that engines never get, and against loads
 * that stop the service. */
static void
version_reaches_all(void)
{
	caller_t caller = {
	    .url = g_strdup(node_url(cluster, NODE_S1, GENERATE))};

	ck_assert_int_eq(
	    pthread_create(&caller.thread, NULL, caller_run, &caller), 0);
	cluster->engine_version = "v2";
	cluster_publish_allowances(cluster);
	engines_wait("v2");
	g_atomic_int_set(&caller.stopping, 1);
	pthread_join(caller.thread, NULL);
	ck_assert_uint_eq(caller.n_failed, 0);
	ck_assert_uint_gt(caller.n_answered, 20);
	g_free(caller.url);
}

/* The instance of stred-1 that has sent commands. */
static node_t
owner_find(void)
{
	const char *id = "engine_commands{result=\"done\"}";
	long long first = instance_counter(cluster, NODE_S1, id);
	long long second = instance_counter(cluster, NODE_S2, id);

	/* One lane in the zone, so one owner: two loads and two roles. */
	ck_assert_int_eq(MAX(first, 0) + MAX(second, 0), 4);
	ck_assert(first <= 0 || second <= 0);
	return first > 0 ? NODE_S1 : NODE_S2;
}

/* Guards against an owner that wakes late and commands engines that another
 * instance owns by now, and against a frozen owner that blocks a change. */
static void
frozen_owner_is_replaced(void)
{
	node_t owner = owner_find();

	node_control(cluster, NODE_W1, "load_ms=4000");
	node_control(cluster, NODE_W2, "load_ms=4000");
	cluster->engine_version = "v3";
	cluster_publish_allowances(cluster);
	WAIT_UNTIL(engine_number(NODE_W1, "busy") == 1 ||
		   engine_number(NODE_W2, "busy") == 1);
	node_signal(cluster, owner, SIGSTOP);
	cluster->absent[owner] = true;
	cluster_publish_fleet(cluster);
	engines_wait("v3");
	ck_assert_int_gt(
	    instance_counter(cluster, owner == NODE_S1 ? NODE_S2 : NODE_S1,
		"engine_commands{result=\"done\"}"),
	    0);
	node_signal(cluster, owner, SIGCONT);
	WAIT_UNTIL(node_has_list(cluster, owner, FLEET));
	engines_wait("v3");
	ck_assert_int_eq(engine_number(NODE_W1, "most_running"), 1);
	ck_assert_int_eq(engine_number(NODE_W2, "most_running"), 1);
}

TEST(engines_follow_the_list)
{
	cluster = cluster_create();
	for (int node = NODE_W1; node <= NODE_W3; node++)
		node_control(cluster, (node_t)node, "refuse_fences=1");
	version_reaches_all();
	frozen_owner_is_replaced();
	cluster_destroy(cluster);
}

int
main(void)
{
	return test_run_case("engine", NULL, NULL, 230);
}
