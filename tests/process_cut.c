#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "cluster.h"

#define RATE 2000
#define BURST 4000
#define REQUEST_TOKENS 40

/*
 * Arrivals are recorded later than admissions, by up to this time. The bound of
 * the rate is widened by what the rate gives in it.
 */
#define ARRIVAL_JITTER_S 0.1

static cluster_t *cluster;

static double
seconds_since(gint64 at)
{
	return (double)(g_get_monotonic_time() - at) / 1e6;
}

static void
platform_links(unsigned int nodes, tcp_relay_mode_t mode)
{
	for (int node = 0; node < NODE_INSTANCES; node++) {
		if (nodes & (1U << node))
			cluster_link_platform(cluster, (node_t)node, mode);
	}
}

static void
key_set_withdrawn(bool withdrawn)
{
	cluster->desk_key_withdrawn = withdrawn;
	cluster_publish_plans(cluster);
}

static void
withdrawal_takes_at_most(double limit_s, const char *what)
{
	double slowest = cluster_withdrawal(cluster, key_set_withdrawn);

	printf("withdrawal, %s: %.2f s\n", what, slowest);
	ck_assert_double_lt(slowest, limit_s);
	key_set_withdrawn(false);
}

/* Guards against a withdrawn key that is served on: target 2 s. */
TEST(withdrawal_with_the_platform)
{
	withdrawal_takes_at_most(2, "platform reachable");
}

/* Guards against a platform that was reset and puts an old list in force. */
TEST(older_list_is_ignored_and_counted)
{
	static const char id[] = "list_offers{result=\"list_reverted\"}";
	uint64_t newest;
	long long before[NODE_INSTANCES];

	key_set_withdrawn(true);
	newest = cluster->versions[PLANS];
	WAIT_UNTIL(cluster_has_list(cluster, PLANS));
	for (int node = 0; node < NODE_INSTANCES; node++)
		before[node] = instance_counter(cluster, (node_t)node, id);
	cluster->versions[PLANS] = newest - 2;
	key_set_withdrawn(false);
	for (int node = 0; node < NODE_INSTANCES; node++) {
		WAIT_UNTIL(
		    instance_counter(cluster, (node_t)node, id) > before[node]);
		ck_assert_int_eq(
		    probe_status(cluster, (node_t)node, DESK_KEY), 401);
	}
	cluster->versions[PLANS] = newest;
	ck_assert(cluster_has_list(cluster, PLANS));
	key_set_withdrawn(false);
	WAIT_UNTIL(cluster_has_list(cluster, PLANS));
}

static unsigned int
whole_count(const GArray *results, gint64 from, gint64 to)
{
	unsigned int n = 0;

	for (guint i = 0; i < results->len; i++) {
		const load_result_t *result =
		    &g_array_index(results, load_result_t, i);

		n += result->whole && result->at >= from && result->at < to;
	}
	return n;
}

/*
 * Guards against two zones that each use the whole rate while they can't see
 * each other, a zone that serves nobody, and requests that run in circles.
 */
TEST(zones_cut_from_each_other)
{
	static const tcp_relay_mode_t modes[] = {RELAY_DROP, RELAY_HOLD};
	/* Callers at all instances ask for about four times the rate. */
	load_spec_t specs[] = {
	    {GUEST_KEY, "cut-s", 0x3, 20, 200, REQUEST_TOKENS, false},
	    {GUEST_KEY, "cut-z", 0xc, 20, 200, REQUEST_TOKENS, false}};
	load_t *loads[2];
	GArray *results[2];
	g_autoptr(GHashTable) arrivals = NULL;
	gint64 cut_at = 0;
	gint64 healed_at = 0;
	double excess;

	for (int side = 0; side < 2; side++)
		loads[side] = load_start(cluster, &specs[side]);
	WAIT_UNTIL(load_count(loads[0]) > 200 && load_count(loads[1]) > 200);
	for (size_t i = 0; i < G_N_ELEMENTS(modes); i++) {
		unsigned int counts[2] = {
		    load_count(loads[0]), load_count(loads[1])};

		cut_at = g_get_monotonic_time();
		cluster_link_zones(cluster, modes[i]);
		/* Longer than a loan, so that loans over the cut end. */
		WAIT_UNTIL(seconds_since(cut_at) > 11 &&
			   load_count(loads[0]) > counts[0] + 200 &&
			   load_count(loads[1]) > counts[1] + 200);
		healed_at = g_get_monotonic_time();
		cluster_link_zones(cluster, RELAY_PASS);
	}
	WAIT_UNTIL(seconds_since(healed_at) > 3);
	for (int side = 0; side < 2; side++)
		results[side] = load_stop(loads[side]);
	excess = cluster_rate_excess(cluster, "cut-", RATE, BURST);
	ck_assert_double_le(excess, RATE * ARRIVAL_JITTER_S);
	arrivals = cluster_arrivals(cluster);
	for (int side = 0; side < 2; side++) {
		/* Each side has a half of the rate; loans may have moved some
		 * of it over the cut for the first 10 s. */
		unsigned int served =
		    whole_count(results[side], cut_at, healed_at);

		printf("%s: %u served while cut, of %u; rate_exceeded %.2f, "
		       "no_share %.2f, hop_limit %.3f\n",
		    specs[side].tag, served, results[side]->len,
		    results_share(results[side], "rate_exceeded"),
		    results_share(results[side], "no_share"),
		    results_share(results[side], "hop_limit"));
		ck_assert_uint_gt(served, 11 * RATE / REQUEST_TOKENS / 8);
		for (guint i = 0; i < results[side]->len; i++) {
			const load_result_t *result =
			    &g_array_index(results[side], load_result_t, i);

			ck_assert_uint_le(
			    arrivals_of(arrivals, result->marker), 2);
		}
		results_check_not_run(cluster, results[side]);
		g_array_free(results[side], TRUE);
	}
}

/*
 * Guards against a zone that serves a withdrawn key on because it can't read
 * the platform: target 5 s through the instances of the other zone. It runs
 * late: after an outage reads start again with a delay up to 30 s.
 */
TEST(withdrawal_through_peers)
{
	static const tcp_relay_mode_t modes[] = {RELAY_DROP, RELAY_HOLD};

	for (size_t i = 0; i < G_N_ELEMENTS(modes); i++) {
		platform_links(1U << NODE_Z1 | 1U << NODE_Z2, modes[i]);
		withdrawal_takes_at_most(
		    5, i ? "one zone's reads hang" : "one zone can't read");
		WAIT_UNTIL(cluster_has_list(cluster, PLANS));
	}
	platform_links(0xf, RELAY_PASS);
}

/* Guards against instances that need the platform to serve. */
TEST(instances_serve_without_the_platform)
{
	static const char *const modes[] = {"mode=down", "mode=stale"};

	for (size_t i = 0; i < G_N_ELEMENTS(modes); i++) {
		load_spec_t spec = {
		    DESK_KEY, "no-platform", 0xf, 8, 50, 5, false};
		g_autoptr(GArray) results = NULL;
		load_t *load;

		node_control(cluster, NODE_PLATFORM, modes[i]);
		load = load_start(cluster, &spec);
		WAIT_UNTIL(load_count(load) >= 200);
		results = load_stop(load);
		for (guint k = 0; k < results->len; k++)
			ck_assert_msg(
			    g_array_index(results, load_result_t, k).whole,
			    "%s: %s", modes[i],
			    g_array_index(results, load_result_t, k).code);
	}
	platform_links(0xf, RELAY_HOLD);
	node_control(cluster, NODE_PLATFORM, "mode=ok");
	for (int node = 0; node < NODE_INSTANCES; node++)
		ck_assert_int_eq(
		    probe_status(cluster, (node_t)node, DESK_KEY), 200);
	platform_links(0xf, RELAY_PASS);
}

static void
setup(void)
{
	cluster = cluster_prepare();
	cluster->small_rate = RATE;
	cluster->small_burst = BURST;
	cluster_publish_allowances(cluster);
	cluster_relay(cluster);
	cluster_start(cluster);
}

CLUSTER_MAIN("cut", setup)
