#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "cluster.h"

#define STREAM "{\"prompt\":\"%s\",\"max_tokens\":%d,\"stream\":true}"

static cluster_t *cluster;

/* Starts dead engines again and returns how many had died. */
static unsigned int
engines_restart(void)
{
	unsigned int died = 0;

	for (int node = NODE_W1; node <= NODE_W3; node++) {
		if (waitpid(cluster->pids[node], NULL, WNOHANG) == 0)
			continue;
		died++;
		printf("%s died\n", node_names[node]);
		node_start(cluster, (node_t)node);
		node_wait_ready(cluster, (node_t)node);
	}
	return died;
}

/* Sends a poison request 24 times in turn at n instances; counts the deaths. */
static unsigned int
poison_send(const char *key, const char *marker, const node_t *nodes, int n)
{
	g_autofree char *body = g_strdup_printf(STREAM, marker, 100);
	unsigned int died = 0;
	int refused = 0;
	unsigned int lost;
	char code[64];
	long status;

	for (int i = 0; i < 24; i++) {
		answer_t *answer = http_call(
		    node_url(cluster, nodes[i % n], GENERATE), key, NULL, body);

		refused = answer->status == 422 ? refused + 1 : 0;
		status = answer->status;
		g_strlcpy(code, error_code(answer), sizeof(code));
		answer_free(answer);
		lost = engines_restart();
		died += lost;
		printf("%s at %s: %ld %s, %u died\n", marker,
		    node_names[nodes[i % n]], status, code, lost);
	}
	printf("%s: %u engines died\n", marker, died);
	ck_assert_int_ge(refused, n);
	return died;
}

/*
 * Guards against a request that stops one engine after the other while its
 * caller repeats it at all instances of the home region.
 */
TEST(poison_request_stops_at_most_two_engines)
{
	static const node_t nodes[] = {NODE_S1, NODE_S2};

	ck_assert_uint_le(
	    poison_send(PARISH_KEY, "CRASH-THE-ENGINE home", nodes, 2), 2);
}

/* The same for a team that any region serves. */
TEST(poison_request_at_two_regions_stops_at_most_two_engines)
{
	static const node_t nodes[] = {NODE_S1, NODE_Z1, NODE_S2, NODE_Z2};

	ck_assert_uint_le(
	    poison_send(DESK_KEY, "CRASH-THE-ENGINE any", nodes, 4), 2);
}

static void
setup(void)
{
	cluster = cluster_create();
}

CLUSTER_MAIN("poison", setup)
