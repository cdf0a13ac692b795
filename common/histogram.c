#include "common/histogram.h"

#include <glib.h>
#include <math.h>

/*
 * Values below EXACT_BUCKETS have a bucket each. Above, each power of two is
 * divided into BUCKETS_PER_DOUBLING buckets, which bounds the relative error.
 */
#define EXACT_BITS 8
#define EXACT_BUCKETS (1u << EXACT_BITS)
#define BUCKETS_PER_DOUBLING (EXACT_BUCKETS / 2)
#define MAX_BITS 40
#define BUCKET_COUNT \
	(EXACT_BUCKETS + (MAX_BITS - EXACT_BITS) * BUCKETS_PER_DOUBLING)

struct histogram {
	uint64_t counts[BUCKET_COUNT];
	uint64_t count;
	uint64_t min;
	uint64_t max;
	double sum;
};

static unsigned int
bucket_index(uint64_t value)
{
	unsigned int shift;

	if (value < EXACT_BUCKETS)
		return (unsigned int)value;
	shift = 64 - EXACT_BITS - (unsigned int)__builtin_clzll(value);
	return EXACT_BUCKETS + (shift - 1) * BUCKETS_PER_DOUBLING +
	       (unsigned int)(value >> shift) - BUCKETS_PER_DOUBLING;
}

/* Returns the largest value of a bucket. */
static uint64_t
bucket_upper_bound(unsigned int bucket)
{
	unsigned int shift;
	uint64_t mantissa;

	if (bucket < EXACT_BUCKETS)
		return bucket;
	shift = (bucket - EXACT_BUCKETS) / BUCKETS_PER_DOUBLING + 1;
	mantissa = (bucket - EXACT_BUCKETS) % BUCKETS_PER_DOUBLING +
		   BUCKETS_PER_DOUBLING;
	return ((mantissa + 1) << shift) - 1;
}

histogram_t *
histogram_create(void)
{
	return g_new0(histogram_t, 1);
}

void
histogram_destroy(histogram_t *histogram)
{
	g_free(histogram);
}

void
histogram_record(histogram_t *histogram, uint64_t value)
{
	value = MIN(value, HISTOGRAM_MAX);
	histogram->counts[bucket_index(value)]++;
	if (histogram->count == 0 || value < histogram->min)
		histogram->min = value;
	histogram->max = MAX(histogram->max, value);
	histogram->sum += (double)value;
	histogram->count++;
}

void
histogram_merge(histogram_t *histogram, const histogram_t *from)
{
	if (from->count == 0)
		return;
	if (histogram->count == 0 || from->min < histogram->min)
		histogram->min = from->min;
	histogram->max = MAX(histogram->max, from->max);
	histogram->sum += from->sum;
	histogram->count += from->count;
	for (unsigned int i = 0; i < BUCKET_COUNT; i++)
		histogram->counts[i] += from->counts[i];
}

uint64_t
histogram_count(const histogram_t *histogram)
{
	return histogram->count;
}

uint64_t
histogram_min(const histogram_t *histogram)
{
	return histogram->min;
}

uint64_t
histogram_max(const histogram_t *histogram)
{
	return histogram->max;
}

double
histogram_mean(const histogram_t *histogram)
{
	return histogram->count == 0
		   ? 0.0
		   : histogram->sum / (double)histogram->count;
}

uint64_t
histogram_count_to(const histogram_t *histogram, uint64_t value)
{
	unsigned int last = bucket_index(MIN(value, HISTOGRAM_MAX));
	uint64_t count = 0;

	for (unsigned int i = 0; i <= last; i++)
		count += histogram->counts[i];
	return count;
}

double
histogram_sum(const histogram_t *histogram)
{
	return histogram->sum;
}

uint64_t
histogram_quantile(const histogram_t *histogram, double quantile)
{
	double rank = ceil(quantile * (double)histogram->count);
	uint64_t target_rank = rank < 1.0 ? 1 : (uint64_t)rank;
	uint64_t cumulative = 0;

	for (unsigned int i = 0; i < BUCKET_COUNT; i++) {
		cumulative += histogram->counts[i];
		if (cumulative >= target_rank)
			return MIN(bucket_upper_bound(i), histogram->max);
	}
	return histogram->max;
}
