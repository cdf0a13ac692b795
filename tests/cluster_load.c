#include "cluster_internal.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

struct load {
	cluster_t *cluster;
	load_spec_t spec;
	int stopping;
	int next_caller;
	int next_request;
	pthread_mutex_t lock;
	GArray *results;
	pthread_t *threads;
};

static node_t
caller_node(const load_t *load, int caller)
{
	int node = 0;

	for (int skip = caller;; node = (node + 1) % NODE_INSTANCES) {
		if ((load->spec.nodes & (1U << node)) != 0 && skip-- == 0)
			return (node_t)node;
	}
}

static void
load_call(load_t *load, node_t node)
{
	const load_spec_t *spec = &load->spec;
	load_result_t result = {.node = node, .at = g_get_monotonic_time()};
	g_autofree char *url =
	    g_strdup_printf("http://127.0.0.1:%d/v1/services/epitaph-writer/"
			    "generate",
		load->cluster->ports[node]);
	g_autofree char *body = NULL;
	answer_t *answer;

	snprintf(result.marker, sizeof(result.marker), "%s-%d", spec->tag,
	    __atomic_fetch_add(&load->next_request, 1, __ATOMIC_RELAXED));
	body = g_strdup_printf(
	    "{\"prompt\":\"%s\",\"max_tokens\":%d,\"stream\":%s}",
	    result.marker, spec->tokens, spec->stream ? "true" : "false");
	answer = http_call(url, spec->key, NULL, body);
	result.status = answer->status;
	result.seconds = answer->seconds;
	result.whole = answer->status == 200 && answer->whole &&
		       (!spec->stream ||
			   strstr(answer->body->str, "data: [DONE]") != NULL);
	if (answer->status != 200) {
		error_member(answer, "code", result.code, sizeof(result.code));
		error_member(answer, "ran", result.ran, sizeof(result.ran));
	}
	answer_free(answer);
	pthread_mutex_lock(&load->lock);
	g_array_append_val(load->results, result);
	pthread_mutex_unlock(&load->lock);
}

static void *
caller_run(void *user)
{
	load_t *load = user;
	int caller =
	    __atomic_fetch_add(&load->next_caller, 1, __ATOMIC_RELAXED);
	node_t node = caller_node(load, caller);
	gint64 interval = load->spec.interval_ms * G_GINT64_CONSTANT(1000);
	/* Callers start evenly over one interval. */
	gint64 next =
	    g_get_monotonic_time() + interval * caller / load->spec.callers;

	while (!__atomic_load_n(&load->stopping, __ATOMIC_ACQUIRE)) {
		gint64 now = g_get_monotonic_time();

		if (now < next) {
			g_usleep((gulong)MIN(next - now, 10000));
			continue;
		}
		next += interval;
		load_call(load, node);
	}
	return NULL;
}

load_t *
load_start(cluster_t *cluster, const load_spec_t *spec)
{
	load_t *load = g_new0(load_t, 1);

	load->cluster = cluster;
	load->spec = *spec;
	pthread_mutex_init(&load->lock, NULL);
	load->results = g_array_new(FALSE, FALSE, sizeof(load_result_t));
	load->threads = g_new0(pthread_t, (gsize)spec->callers);
	for (int i = 0; i < spec->callers; i++)
		ck_assert_int_eq(
		    pthread_create(&load->threads[i], NULL, caller_run, load),
		    0);
	return load;
}

GArray *
load_stop(load_t *load)
{
	GArray *results = load->results;

	__atomic_store_n(&load->stopping, 1, __ATOMIC_RELEASE);
	for (int i = 0; i < load->spec.callers; i++)
		pthread_join(load->threads[i], NULL);
	pthread_mutex_destroy(&load->lock);
	g_free(load->threads);
	g_free(load);
	return results;
}

unsigned int
load_count(load_t *load)
{
	unsigned int count;

	pthread_mutex_lock(&load->lock);
	count = load->results->len;
	pthread_mutex_unlock(&load->lock);
	return count;
}

double
results_share(const GArray *results, const char *code)
{
	unsigned int n = 0;

	for (guint i = 0; i < results->len; i++)
		n += strcmp(g_array_index(results, load_result_t, i).code,
			 code) == 0;
	return results->len ? (double)n / results->len : 0;
}

static gint
seconds_compare(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

double
results_latency(const GArray *results, double fraction)
{
	g_autoptr(GArray) seconds = g_array_new(FALSE, FALSE, sizeof(double));

	for (guint i = 0; i < results->len; i++) {
		const load_result_t *result =
		    &g_array_index(results, load_result_t, i);

		if (result->whole)
			g_array_append_val(seconds, result->seconds);
	}
	if (seconds->len == 0)
		return 0;
	g_array_sort(seconds, seconds_compare);
	return g_array_index(
	    seconds, double, (guint)((seconds->len - 1) * fraction));
}

void
results_check_not_run(cluster_t *cluster, const GArray *results)
{
	g_autoptr(GHashTable) arrivals = cluster_arrivals(cluster);

	for (guint i = 0; i < results->len; i++) {
		const load_result_t *result =
		    &g_array_index(results, load_result_t, i);

		ck_assert_msg(strcmp(result->ran, "not_run") != 0 ||
				  arrivals_of(arrivals, result->marker) == 0,
		    "%s: %ld %s not_run, but a target recorded it",
		    result->marker, result->status, result->code);
	}
}
