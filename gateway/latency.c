#include "common/histogram.h"
#include "internal.h"

#define KIND_COUNT (ROUTE_STREAM + 1)

/*
 * Upper bounds of the buckets in microseconds, from a plain request on an idle
 * target to the longest stream.
 */
static const uint64_t bounds[] = {5000, 10000, 25000, 50000, 100000, 200000,
    300000, 500000, 800000, 1200000, 2000000, 4000000, 8000000, 16000000};

static const char *const latency_names[LATENCY_COUNT] = {
    [LATENCY_WAIT] = "wait_seconds",
    [LATENCY_FIRST_BYTE] = "first_byte_seconds",
    [LATENCY_RESPONSE] = "answer_seconds",
    [LATENCY_DEPARTED] = "departed_target_seconds",
};

static const char *const kind_names[KIND_COUNT] = {
    [ROUTE_SAFE] = "safe",
    [ROUTE_UNSAFE] = "unsafe",
    [ROUTE_STREAM] = "stream",
};

struct latencies {
	histogram_t *histograms[LATENCY_COUNT][KIND_COUNT];
	histogram_t *config_lag;
};

latencies_t *
latencies_create(void)
{
	latencies_t *latencies = g_new0(latencies_t, 1);

	for (int i = 0; i < LATENCY_COUNT; i++) {
		for (int kind = 0; kind < KIND_COUNT; kind++)
			latencies->histograms[i][kind] = histogram_create();
	}
	latencies->config_lag = histogram_create();
	return latencies;
}

void
latencies_destroy(latencies_t *latencies)
{
	for (int i = 0; i < LATENCY_COUNT; i++) {
		for (int kind = 0; kind < KIND_COUNT; kind++)
			histogram_destroy(latencies->histograms[i][kind]);
	}
	histogram_destroy(latencies->config_lag);
	g_free(latencies);
}

void
latencies_record(latencies_t *latencies, latency_t latency, route_kind_t kind,
    time_us_t time)
{
	histogram_record(
	    latencies->histograms[latency][kind], (uint64_t)MAX(time, 0));
}

void
latencies_record_config_lag(latencies_t *latencies, time_us_t lag)
{
	histogram_record(latencies->config_lag, (uint64_t)lag);
}

/* kind NULL: the histogram has no label. */
static void
histogram_write(const histogram_t *histogram, const char *name,
    const char *kind, GString *text)
{
	g_autofree char *label =
	    kind ? g_strdup_printf("kind=\"%s\"", kind) : g_strdup("");
	const char *comma = kind ? "," : "";

	for (size_t i = 0; i < G_N_ELEMENTS(bounds); i++)
		g_string_append_printf(text,
		    "%s_bucket{%s%s"
		    "le=\"%g\"} %" G_GUINT64_FORMAT "\n",
		    name, label, comma, (double)bounds[i] / US_PER_S,
		    histogram_count_to(histogram, bounds[i]));
	g_string_append_printf(text,
	    "%s_bucket{%s%s"
	    "le=\"+Inf\"} %" G_GUINT64_FORMAT "\n"
	    "%s_sum{%s} %.6f\n"
	    "%s_count{%s} %" G_GUINT64_FORMAT "\n",
	    name, label, comma, histogram_count(histogram), name, label,
	    histogram_sum(histogram) / US_PER_S, name, label,
	    histogram_count(histogram));
}

void
latencies_write(const latencies_t *latencies, GString *text)
{
	for (int i = 0; i < LATENCY_COUNT; i++) {
		g_string_append_printf(
		    text, "# TYPE %s histogram\n", latency_names[i]);
		for (int kind = 0; kind < KIND_COUNT; kind++)
			histogram_write(latencies->histograms[i][kind],
			    latency_names[i], kind_names[kind], text);
	}
	g_string_append(text, "# TYPE config_lag_seconds histogram\n");
	histogram_write(
	    latencies->config_lag, "config_lag_seconds", NULL, text);
}
