#ifndef CYCLAMENSAILCTL_BENCH_H
#define CYCLAMENSAILCTL_BENCH_H

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>

#include "common/histogram.h"
#include "core/types.h"

/* What bench sends. Texts belong to the caller. */
typedef struct {
	char *const *urls;
	int n_urls;
	char *key;  /* bearer key, or NULL */
	char *body; /* body of a POST, or NULL for GET */
	size_t body_len;
	int64_t requests;    /* 0: no limit */
	int64_t concurrency; /* requests in progress at a time */
	double rate;	     /* arrivals a second; 0: closed loop */
	uint64_t seed;	     /* of the arrival times */
	time_us_t duration;  /* no request starts later */
	time_us_t timeout;   /* of one request, from its start */
	time_us_t hold;	     /* keeps idle connections open at the end */
	bool stream;	     /* counts server-sent events */
	bool tickets;	     /* fetches a ticket for each request */
} bench_plan_t;

/* What was measured. All times are in microseconds. */
typedef struct {
	histogram_t *first;   /* scheduled time to first byte of the body */
	histogram_t *gap;     /* between two events of one answer */
	histogram_t *total;   /* scheduled time to end */
	GHashTable *statuses; /* text -> count in a gint64 */
	GHashTable *errors;
	int64_t sent;
	int64_t late;	   /* started over BENCH_LATE_US after its time */
	int64_t unsent;	   /* due, but not started within the duration */
	int64_t succeeded; /* status 2xx, whole, without an error event */
	int64_t events;
	int64_t bytes;
	time_us_t elapsed; /* first start to last end */
} bench_result_t;

/* A request that starts later than this after its scheduled time is late. */
#define BENCH_LATE_US (1 * US_PER_MS)

/* Sends the requests. Returns false when nothing could be set up. */
bool bench_send(const bench_plan_t *plan, bench_result_t *result);

void bench_result_clear(bench_result_t *result);

void bench_report_text(
    const bench_plan_t *plan, const bench_result_t *result, FILE *out);
void bench_report_json(
    const bench_plan_t *plan, const bench_result_t *result, FILE *out);

/* Writes quantiles for scripts/plot-latency; false with errno on failure. */
bool bench_report_gnuplot(const bench_result_t *result, const char *path);

#endif
