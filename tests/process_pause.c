#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "cluster.h"

#define LEASE_US G_GINT64_CONSTANT(30000000)

static cluster_t *cluster;

static http_task_t *
request_start(node_t node, const char *key, const char *marker, int tokens)
{
	g_autofree char *body = g_strdup_printf(
	    "{\"prompt\":\"%s\",\"max_tokens\":%d}", marker, tokens);

	return http_start(node_url(cluster, node, GENERATE), key, NULL, body);
}

static void
links_set(node_t node, tcp_relay_mode_t mode)
{
	for (int other = NODE_S1; other <= NODE_Z2; other++) {
		if (other != (int)node)
			cluster_link(cluster, node, (node_t)other, mode);
	}
	cluster_link_platform(cluster, node, mode);
}

static void
not_run_is_true(const answer_t *answer, const char *marker, bool withdrawn)
{
	g_autoptr(GHashTable) arrivals = cluster_arrivals(cluster);

	printf("%s: %ld %s\n", marker, answer->status, error_code(answer));
	if (withdrawn || strcmp(error_ran(answer), "not_run") == 0)
		ck_assert_uint_eq(arrivals_of(arrivals, marker), 0);
	if (withdrawn)
		ck_assert_int_ne(answer->status, 200);
}

/*
 * Guards against a paused instance that wakes and acts on what it knew before:
 * it starts work that waited, for a key withdrawn meanwhile, or uses its share
 * without a lease. Its links are held when it wakes, so that it can't learn of
 * the withdrawal or renew its lease before it decides.
 */
TEST(paused_instance_wakes_without_old_rights)
{
	http_task_t *running[4];
	http_task_t *queued[4];
	http_task_t *arrived[8];
	char marker[32];
	answer_t *answer;
	gint64 paused_at;

	/* Occupies the two slots of s1 until after it was paused. */
	node_control(cluster, NODE_W1, "token_ms=200");
	node_control(cluster, NODE_W2, "token_ms=200");
	for (size_t i = 0; i < G_N_ELEMENTS(running); i++) {
		snprintf(marker, sizeof(marker), "running-%zu", i);
		running[i] = request_start(NODE_S1, PARISH_KEY, marker, 20);
	}
	WAIT_UNTIL(target_count(cluster, NODE_W1, "in_flight") +
		       target_count(cluster, NODE_W2, "in_flight") >=
		   2);
	for (size_t i = 0; i < G_N_ELEMENTS(queued); i++) {
		snprintf(marker, sizeof(marker), "queued-%zu", i);
		queued[i] = request_start(NODE_S1, DESK_KEY, marker, 2);
	}
	WAIT_UNTIL(
	    instance_counter(cluster, NODE_S1, "requests_in_progress") == 8);
	paused_at = g_get_monotonic_time();
	node_signal(cluster, NODE_S1, SIGSTOP);
	links_set(NODE_S1, RELAY_HOLD);
	cluster->desk_key_withdrawn = true;
	cluster_publish_plans(cluster);
	for (int node = NODE_S2; node <= NODE_Z2; node++)
		WAIT_UNTIL(
		    probe_status(cluster, (node_t)node, DESK_KEY) == 401);
	/* The kernel accepts connections and keeps their bytes meanwhile. */
	for (size_t i = 0; i < G_N_ELEMENTS(arrived); i++) {
		snprintf(marker, sizeof(marker), "arrived-%zu", i);
		arrived[i] = request_start(
		    NODE_S1, i % 2 ? PARISH_KEY : DESK_KEY, marker, 2);
	}
	/* The condition is the clock: the lease of 30 s must run out. */
	while (g_get_monotonic_time() < paused_at + LEASE_US + G_USEC_PER_SEC)
		g_usleep(10000);
	node_signal(cluster, NODE_S1, SIGCONT);
	for (size_t i = 0; i < G_N_ELEMENTS(arrived); i++) {
		answer = http_join(arrived[i]);
		snprintf(marker, sizeof(marker), "arrived-%zu", i);
		/* Nobody renewed the lease, so nothing runs for any team. */
		not_run_is_true(answer, marker, true);
		answer_free(answer);
	}
	links_set(NODE_S1, RELAY_PASS);
	for (size_t i = 0; i < G_N_ELEMENTS(queued); i++) {
		answer = http_join(queued[i]);
		snprintf(marker, sizeof(marker), "queued-%zu", i);
		not_run_is_true(answer, marker, true);
		answer_free(answer);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(running); i++) {
		answer = http_join(running[i]);
		snprintf(marker, sizeof(marker), "running-%zu", i);
		not_run_is_true(answer, marker, false);
		answer_free(answer);
	}
	WAIT_UNTIL(probe_status(cluster, NODE_S1, PARISH_KEY) == 200);
	WAIT_UNTIL(probe_status(cluster, NODE_S1, DESK_KEY) == 401);
}

static void
setup(void)
{
	cluster = cluster_prepare();
	cluster->engine_slots = 2;
	cluster_relay(cluster);
	cluster_start(cluster);
}

CLUSTER_MAIN("pause", setup)
