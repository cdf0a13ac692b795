/* Reports of a bench run. */
#include <errno.h>
#include <jansson.h>
#include <math.h>
#include <stdlib.h>

#include "bench.h"

/* Rows of a plot, each 1.1 times as far into the tail: up to 1 in 7e9. */
#define PLOT_STEPS 240

typedef struct {
	const char *name;
	double quantile;
} quantile_t;

static const quantile_t quantiles[] = {
    {"p50", 0.5}, {"p99", 0.99}, {"p99.9", 0.999}};

static double
throughput(const bench_result_t *result)
{
	if (result->elapsed <= 0)
		return 0.0;
	return (double)result->succeeded * US_PER_S / (double)result->elapsed;
}

static void
histogram_print(const char *name, const histogram_t *histogram, FILE *out)
{
	fprintf(out, "%-12s n %" G_GUINT64_FORMAT, name,
	    histogram_count(histogram));
	for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++)
		fprintf(out, "  %s %" G_GUINT64_FORMAT " us", quantiles[i].name,
		    histogram_quantile(histogram, quantiles[i].quantile));
	fprintf(out, "  max %" G_GUINT64_FORMAT " us  mean %.1f us\n",
	    histogram_max(histogram), histogram_mean(histogram));
}

static void
counts_print(const char *name, GHashTable *table, FILE *out)
{
	GList *keys =
	    g_list_sort(g_hash_table_get_keys(table), (GCompareFunc)g_strcmp0);

	for (GList *item = keys; item != NULL; item = item->next)
		fprintf(out, "%s %s: %" G_GINT64_FORMAT "\n", name,
		    (const char *)item->data,
		    *(gint64 *)g_hash_table_lookup(table, item->data));
	g_list_free(keys);
}

void
bench_report_text(
    const bench_plan_t *plan, const bench_result_t *result, FILE *out)
{
	fprintf(out,
	    "%" G_GINT64_FORMAT " requests sent in %.3f s, %" G_GINT64_FORMAT
	    " succeeded, %.1f a second\n",
	    result->sent, (double)result->elapsed / US_PER_S, result->succeeded,
	    throughput(result));
	if (plan->rate > 0)
		fprintf(out,
		    "rate %.1f a second, seed %" G_GUINT64_FORMAT
		    ": %" G_GINT64_FORMAT " as scheduled, %" G_GINT64_FORMAT
		    " late, %" G_GINT64_FORMAT " not sent\n",
		    plan->rate, plan->seed, result->sent - result->late,
		    result->late, result->unsent);
	histogram_print("first byte", result->first, out);
	if (plan->stream)
		histogram_print("event gap", result->gap, out);
	histogram_print("total", result->total, out);
	counts_print("status", result->statuses, out);
	counts_print("error", result->errors, out);
}

static json_t *
histogram_json(const histogram_t *histogram)
{
	json_t *json = json_pack("{s:I,s:I,s:I,s:f}", "count",
	    (json_int_t)histogram_count(histogram), "min",
	    (json_int_t)histogram_min(histogram), "max",
	    (json_int_t)histogram_max(histogram), "mean",
	    histogram_mean(histogram));

	for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++)
		json_object_set_new(json, quantiles[i].name,
		    json_integer((json_int_t)histogram_quantile(
			histogram, quantiles[i].quantile)));
	return json;
}

static json_t *
counts_json(GHashTable *table)
{
	json_t *json = json_object();
	GHashTableIter iter;
	gpointer name;
	gpointer count;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, &name, &count))
		json_object_set_new(json, name, json_integer(*(gint64 *)count));
	return json;
}

void
bench_report_json(
    const bench_plan_t *plan, const bench_result_t *result, FILE *out)
{
	json_t *json = json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:f,s:f,s:f,s:I}",
	    "sent", (json_int_t)result->sent, "succeeded",
	    (json_int_t)result->succeeded, "late", (json_int_t)result->late,
	    "unsent", (json_int_t)result->unsent, "events",
	    (json_int_t)result->events, "bytes", (json_int_t)result->bytes,
	    "elapsed_s", (double)result->elapsed / US_PER_S, "per_second",
	    throughput(result), "rate", plan->rate, "seed",
	    (json_int_t)plan->seed);

	json_object_set_new(
	    json, "first_byte_us", histogram_json(result->first));
	json_object_set_new(json, "event_gap_us", histogram_json(result->gap));
	json_object_set_new(json, "total_us", histogram_json(result->total));
	json_object_set_new(json, "statuses", counts_json(result->statuses));
	json_object_set_new(json, "errors", counts_json(result->errors));
	json_dumpf(json, out, JSON_COMPACT | JSON_SORT_KEYS);
	fputc('\n', out);
	json_decref(json);
}

/* One block of rows for each histogram; gnuplot addresses them by index. */
bool
bench_report_gnuplot(const bench_result_t *result, const char *path)
{
	const histogram_t *histograms[] = {
	    result->first, result->gap, result->total};
	static const char *const names[] = {"first byte", "event gap", "total"};
	FILE *out = fopen(path, "we");

	if (out == NULL)
		return false;
	for (size_t i = 0; i < G_N_ELEMENTS(histograms); i++) {
		uint64_t count = histogram_count(histograms[i]);

		fprintf(out, "# %s: 1/(1-quantile), microseconds\n", names[i]);
		for (int step = 0; step < PLOT_STEPS; step++) {
			double tail = pow(1.1, step);

			if (tail > (double)MAX(count, 1))
				break;
			fprintf(out, "%.6g %" G_GUINT64_FORMAT "\n", tail,
			    histogram_quantile(
				histograms[i], 1.0 - 1.0 / tail));
		}
		fputs("\n\n", out);
	}
	return fclose(out) == 0;
}
