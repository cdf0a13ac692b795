#include "common/histogram.h"

#include <glib.h>
#include <math.h>

/*
 * Values below SLOTS_EXACT have a bucket each. Above, each power of two is
 * divided into SLOTS_HALF buckets, which bounds the relative error.
 */
#define BITS_EXACT 8
#define SLOTS_EXACT (1u << BITS_EXACT)
#define SLOTS_HALF (SLOTS_EXACT / 2)
#define BITS_MAX 40
#define SLOT_COUNT (SLOTS_EXACT + (BITS_MAX - BITS_EXACT) * SLOTS_HALF)

struct histogram {
	uint64_t counts[SLOT_COUNT];
	uint64_t count;
	uint64_t min;
	uint64_t max;
	double sum;
};

static unsigned int
slot_of(uint64_t value)
{
	unsigned int shift;

	if (value < SLOTS_EXACT)
		return (unsigned int)value;
	shift = 64 - BITS_EXACT - (unsigned int)__builtin_clzll(value);
	return SLOTS_EXACT + (shift - 1) * SLOTS_HALF +
	       (unsigned int)(value >> shift) - SLOTS_HALF;
}

/* Returns the largest value of a bucket. */
static uint64_t
slot_end(unsigned int slot)
{
	unsigned int shift;
	uint64_t top;

	if (slot < SLOTS_EXACT)
		return slot;
	shift = (slot - SLOTS_EXACT) / SLOTS_HALF + 1;
	top = (slot - SLOTS_EXACT) % SLOTS_HALF + SLOTS_HALF;
	return ((top + 1) << shift) - 1;
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
	histogram->counts[slot_of(value)]++;
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
	for (unsigned int i = 0; i < SLOT_COUNT; i++)
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
	unsigned int last = slot_of(MIN(value, HISTOGRAM_MAX));
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
	uint64_t wanted = rank < 1.0 ? 1 : (uint64_t)rank;
	uint64_t seen = 0;

	for (unsigned int i = 0; i < SLOT_COUNT; i++) {
		seen += histogram->counts[i];
		if (seen >= wanted)
			return MIN(slot_end(i), histogram->max);
	}
	return histogram->max;
}
