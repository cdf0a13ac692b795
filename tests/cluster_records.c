#include "cluster_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct {
	double s;
	double tokens;
} arrival_t;

json_t *
target_record(cluster_t *cluster, node_t node)
{
	answer_t *answer =
	    http_call(node_url(cluster, node, "/record"), NULL, NULL, NULL);
	json_t *record = answer_json(answer);

	ck_assert_msg(
	    record != NULL, "no record of target %s", node_names[node]);
	answer_free(answer);
	return record;
}

json_int_t
target_count(cluster_t *cluster, node_t node, const char *name)
{
	json_t *record = target_record(cluster, node);
	json_t *value = json_object_get(record, name);
	json_int_t count = json_is_array(value)
			       ? (json_int_t)json_array_size(value)
			       : json_integer_value(value);

	json_decref(record);
	return count;
}

void
engines_check_none(cluster_t *cluster, const char *name)
{
	for (int node = NODE_W1; node <= NODE_W3; node++)
		ck_assert_int_eq(target_count(cluster, (node_t)node, name), 0);
}

long
probe_status(cluster_t *cluster, node_t node, const char *key)
{
	g_autoptr(answer_t) answer =
	    http_call(node_url(cluster, node, GENERATE), key, NULL,
		"{\"prompt\":\"probe\",\"max_tokens\":1}");

	return answer->status;
}

bool
node_has_list(cluster_t *cluster, node_t node, list_index_t list)
{
	static const char *const ids[] = {"list_version{list=\"plans\"}",
	    "list_version{list=\"allowances\"}",
	    "list_version{list=\"fleet\"}"};

	return instance_counter(cluster, node, ids[list]) ==
	       (long long)cluster->versions[list];
}

bool
cluster_has_list(cluster_t *cluster, list_index_t list)
{
	for (int node = 0; node < NODE_INSTANCES; node++) {
		if (!node_has_list(cluster, (node_t)node, list))
			return false;
	}
	return true;
}

void
node_control(cluster_t *cluster, node_t node, const char *setting)
{
	g_autoptr(answer_t) answer = http_call(
	    node_url(cluster, node, "/control?%s", setting), NULL, NULL, "");

	ck_assert_int_eq(answer->status, 200);
}

long long
instance_counter(cluster_t *cluster, node_t node, const char *id)
{
	g_autofree char *url = g_strdup_printf(
	    "http://127.0.0.1:%d/metrics", cluster->admin_ports[node]);
	answer_t *answer = http_call(url, NULL, NULL, NULL);
	g_autofree char *line = g_strdup_printf("\n%s ", id);
	g_autofree char *text = g_strdup_printf("\n%s", answer->body->str);
	const char *at = strstr(text, line);
	long long value = at ? strtoll(at + strlen(line), NULL, 10) : -1;

	answer_free(answer);
	return value;
}

node_t
target_busy(cluster_t *cluster, node_t first, node_t last)
{
	for (int node = (int)first; node <= (int)last; node++) {
		if (cluster->pids[node] > 0 &&
		    target_count(cluster, (node_t)node, "in_flight") > 0)
			return (node_t)node;
	}
	return NODE_COUNT;
}

bool
directory_names_last(cluster_t *cluster, node_t node, const char *instance)
{
	answer_t *answer =
	    http_call(node_url(cluster, node, "/v1/directory?region=stred"),
		DESK_KEY, NULL, NULL);
	json_t *json = answer_json(answer);
	json_t *places = json_object_get(json, "instances");
	bool last = json_array_size(places) > 0;
	bool seen = false;
	json_t *place;
	size_t i;

	json_array_foreach(places, i, place)
	{
		last = last && !seen;
		seen =
		    g_strcmp0(json_string_value(json_object_get(place, "name")),
			instance) == 0;
	}
	json_decref(json);
	answer_free(answer);
	return last;
}

char *
ticket_take(cluster_t *cluster, node_t node)
{
	answer_t *answer = http_call(
	    node_url(cluster, node, "/v1/ticket"), DESK_KEY, NULL, NULL);
	json_t *json = answer_json(answer);
	char *ticket =
	    g_strdup(json_string_value(json_object_get(json, "ticket")));

	ck_assert_ptr_nonnull(ticket);
	json_decref(json);
	answer_free(answer);
	return ticket;
}

GHashTable *
cluster_arrivals(cluster_t *cluster)
{
	GHashTable *counts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (int node = NODE_W1; node <= NODE_R2; node++) {
		json_auto_t *record = NULL;
		json_t *arrival;
		size_t i;

		if (cluster->pids[node] <= 0)
			continue;
		record = target_record(cluster, (node_t)node);
		json_array_foreach(
		    json_object_get(record, "arrivals"), i, arrival)
		{
			const char *marker =
			    json_string_value(json_array_get(arrival, 2));

			g_hash_table_insert(counts, g_strdup(marker),
			    GUINT_TO_POINTER(arrivals_of(counts, marker) + 1));
		}
	}
	return counts;
}

unsigned int
arrivals_of(GHashTable *arrivals, const char *marker)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(arrivals, marker));
}

static gint
arrival_compare(gconstpointer a, gconstpointer b)
{
	const arrival_t *x = a;
	const arrival_t *y = b;

	return (x->s > y->s) - (x->s < y->s);
}

static GArray *
arrivals_read(cluster_t *cluster, const char *prefix)
{
	GArray *arrivals = g_array_new(FALSE, FALSE, sizeof(arrival_t));

	for (int node = NODE_W1; node <= NODE_W3; node++) {
		json_auto_t *record = target_record(cluster, (node_t)node);
		json_t *item;
		size_t i;

		json_array_foreach(json_object_get(record, "arrivals"), i, item)
		{
			arrival_t arrival = {
			    json_number_value(json_array_get(item, 0)) / 1e6,
			    json_number_value(json_array_get(item, 1))};

			if (g_str_has_prefix(
				json_string_value(json_array_get(item, 2)),
				prefix))
				g_array_append_val(arrivals, arrival);
		}
	}
	g_array_sort(arrivals, arrival_compare);
	return arrivals;
}

double
cluster_rate_excess(
    cluster_t *cluster, const char *prefix, double rate, double burst)
{
	GArray *arrivals = arrivals_read(cluster, prefix);
	double total = 0;
	double lowest = 0;
	double excess = -burst;

	/* total - rate x time rises by the excess of a window within it. */
	for (guint i = 0; i < arrivals->len; i++) {
		const arrival_t *arrival =
		    &g_array_index(arrivals, arrival_t, i);

		if (i == 0 || total - rate * arrival->s < lowest)
			lowest = total - rate * arrival->s;
		total += arrival->tokens;
		excess =
		    MAX(excess, total - rate * arrival->s - lowest - burst);
	}
	printf("%s: %u arrivals, %.0f tokens, excess %.1f tokens\n", prefix,
	    arrivals->len, total, excess);
	g_array_free(arrivals, TRUE);
	return excess;
}
