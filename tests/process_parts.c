#include <stdio.h>

#include "cluster.h"
#include "test.h"

#define PARTS 4
/* The part of team tag-desk. It is written down here, so that a change of the
 * hash, which would move teams between published parts, is noticed. */
#define DESK_PART 2

static cluster_t *cluster;
static uint64_t versions[PARTS];
static bool desk_key_withdrawn;

static void
part_publish(unsigned int part)
{
	g_autoptr(GString) text = g_string_new(NULL);
	g_autofree char *name =
	    g_strdup_printf("plans-%u-of-%u.yaml", part, PARTS);

	g_string_printf(text,
	    "version: %" G_GUINT64_FORMAT "\npart: %u\nparts: %u\nteams:",
	    ++versions[part], part, PARTS);
	if (part == 1) {
		g_string_append(text,
		    "\n  - name: parish-nitra\n    plan: volunteer\n"
		    "    home: stred\n    keys:\n");
		cluster_append_key(text, "k1", PARISH_KEY);
		g_string_append(text,
		    "  - name: guest-house\n    plan: small\n    keys:\n");
		cluster_append_key(text, "k1", GUEST_KEY);
	} else if (part == DESK_PART) {
		g_string_append(
		    text, "\n  - name: tag-desk\n    plan: desk\n    keys:\n");
		if (!desk_key_withdrawn)
			cluster_append_key(text, "k1", DESK_KEY);
		cluster_append_key(text, "k2", SPARE_KEY);
	} else {
		g_string_append(text, " []\n");
	}
	cluster_publish_file(cluster, name, text->str);
}

static long long
plans_version(node_t node)
{
	return instance_counter(cluster, node, "list_version{list=\"plans\"}");
}

static bool
versions_reached(void)
{
	uint64_t sum = 0;

	for (int i = 0; i < PARTS; i++)
		sum += versions[i];
	for (int node = 0; node < NODE_INSTANCES; node++) {
		if (plans_version((node_t)node) != (long long)sum)
			return false;
	}
	return true;
}

/*
 * Guards against a change of the number of parts that leaves a team without its
 * keys or reverts a list, while traffic runs.
 */
TEST(list_is_divided_under_traffic)
{
	load_spec_t spec = {DESK_KEY, "divide", 0xf, 8, 50, 5, false};
	long long before = plans_version(NODE_S1);
	load_t *load = load_start(cluster, &spec);
	GArray *results;

	WAIT_UNTIL(load_count(load) >= 100);
	for (unsigned int i = 0; i < PARTS; i++)
		versions[i] = cluster->versions[0];
	for (unsigned int i = 0; i < PARTS; i++) {
		/* The last one comes after the instances look for them. */
		if (i == PARTS - 1) {
			unsigned int n = load_count(load);

			cluster->plans_parts = PARTS;
			cluster_publish_allowances(cluster);
			WAIT_UNTIL(load_count(load) >= n + 200);
			for (int k = 0; k < NODE_INSTANCES; k++)
				ck_assert_int_eq(
				    plans_version((node_t)k), before);
		}
		part_publish(i);
	}
	WAIT_UNTIL(versions_reached());
	results = load_stop(load);
	for (guint i = 0; i < results->len; i++)
		ck_assert_msg(g_array_index(results, load_result_t, i).whole,
		    "%s", g_array_index(results, load_result_t, i).code);
	g_array_free(results, TRUE);
	for (int node = 0; node < NODE_INSTANCES; node++)
		ck_assert_int_eq(
		    probe_status(cluster, (node_t)node, GUEST_KEY), 200);
}

static void
desk_key_set(bool withdrawn)
{
	desk_key_withdrawn = withdrawn;
	part_publish(DESK_PART);
}

/* The team's other key, in the same part, works on. */
static void
withdrawal_takes_at_most(double limit_s, const char *what)
{
	double slowest;

	desk_key_set(false);
	slowest = cluster_withdrawal(cluster, desk_key_set);
	printf("withdrawal in one part, %s: %.2f s\n", what, slowest);
	ck_assert_double_lt(slowest, limit_s);
	for (int node = 0; node < NODE_INSTANCES; node++)
		ck_assert_int_eq(
		    probe_status(cluster, (node_t)node, SPARE_KEY), 200);
	WAIT_UNTIL(versions_reached());
}

/* Guards against a withdrawn key that is served on: target 2 s. */
TEST(withdrawal_in_one_part)
{
	withdrawal_takes_at_most(2, "platform reachable");
}

/* Guards against instances that can't get a single part from a peer. */
TEST(withdrawal_in_one_part_through_peers)
{
	cluster_link_platform(cluster, NODE_Z1, RELAY_DROP);
	cluster_link_platform(cluster, NODE_Z2, RELAY_DROP);
	withdrawal_takes_at_most(5, "one zone can't read");
}

/* Guards against an instance that starts without the platform and gets a part
 * of the list only. */
TEST(new_instance_gets_all_parts_from_peers)
{
	node_signal(cluster, NODE_Z2, 9);
	node_wait(cluster, NODE_Z2);
	node_start(cluster, NODE_Z2);
	WAIT_UNTIL(plans_version(NODE_Z2) == plans_version(NODE_S1));
	node_wait_ready(cluster, NODE_Z2);
	WAIT_UNTIL(probe_status(cluster, NODE_Z2, SPARE_KEY) == 200);
	ck_assert_int_eq(probe_status(cluster, NODE_Z2, DESK_KEY), 401);
}

static void
setup(void)
{
	cluster = cluster_prepare();
	cluster_relay(cluster);
	cluster_start(cluster);
}

CLUSTER_MAIN("parts", setup)
