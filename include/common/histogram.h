#ifndef COMMON_HISTOGRAM_H
#define COMMON_HISTOGRAM_H

#include <stdint.h>

/*
 * Histogram with buckets of logarithmic width and a fixed size in memory. A
 * value up to HISTOGRAM_MAX is reported at most 1/128 too high, and never too
 * low; a larger value counts as HISTOGRAM_MAX. The caller chooses the unit. Not
 * thread-safe: each thread uses its own, and these are merged.
 */
#define HISTOGRAM_MAX ((UINT64_C(1) << 40) - 1)

typedef struct histogram histogram_t;

histogram_t *histogram_create(void);
void histogram_destroy(histogram_t *histogram);

void histogram_record(histogram_t *histogram, uint64_t value);

/* Adds all values of the histogram from. */
void histogram_merge(histogram_t *histogram, const histogram_t *from);

uint64_t histogram_count(const histogram_t *histogram);

/* Minimum, maximum and mean of the exact values; 0 when empty. */
uint64_t histogram_min(const histogram_t *histogram);
uint64_t histogram_max(const histogram_t *histogram);
double histogram_mean(const histogram_t *histogram);

/* Number of values up to this one, rounded up to a whole bucket. */
uint64_t histogram_count_to(const histogram_t *histogram, uint64_t value);

/* Sum of the exact values. */
double histogram_sum(const histogram_t *histogram);

/*
 * Returns an upper bound of the quantile (0..1): the upper end of the bucket in
 * which it lies, or the maximum when that is less. 0 when empty.
 */
uint64_t histogram_quantile(const histogram_t *histogram, double quantile);

#endif
