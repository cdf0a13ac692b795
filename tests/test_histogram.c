#include "common/histogram.h"

#include <glib.h>

#include "test.h"

G_DEFINE_AUTOPTR_CLEANUP_FUNC(histogram_t, histogram_destroy)

/* Guards against a bucket that reports values too low or too coarsely. */
TEST(relative_error_is_at_most_one_in_128)
{
	for (uint64_t value = 0; value <= HISTOGRAM_MAX;
	     value += value / 97 + 1) {
		g_autoptr(histogram_t) histogram = histogram_create();
		uint64_t reported;

		histogram_record(histogram, value);
		histogram_record(histogram, HISTOGRAM_MAX);
		reported = histogram_quantile(histogram, 0.5);
		ck_assert_uint_ge(reported, value);
		ck_assert_uint_le(reported, value + value / 128);
	}
}

/* Guards against an off-by-one error of the rank at small counts. */
TEST(quantile_uses_the_exact_rank)
{
	g_autoptr(histogram_t) histogram = histogram_create();

	ck_assert_uint_eq(histogram_quantile(histogram, 0.99), 0);
	for (uint64_t value = 1; value <= 100; value++)
		histogram_record(histogram, value);
	ck_assert_uint_eq(histogram_quantile(histogram, 0.0), 1);
	ck_assert_uint_eq(histogram_quantile(histogram, 0.5), 50);
	ck_assert_uint_eq(histogram_quantile(histogram, 0.99), 99);
	ck_assert_uint_eq(histogram_quantile(histogram, 0.999), 100);
	ck_assert_uint_eq(histogram_quantile(histogram, 1.0), 100);
	ck_assert_uint_eq(histogram_min(histogram), 1);
	ck_assert_double_eq_tol(histogram_mean(histogram), 50.5, 1e-9);
}

/* Guards against a merge that differs from recording into one histogram. */
TEST(merge_equals_one_histogram)
{
	histogram_t *parts[3] = {
	    histogram_create(), histogram_create(), histogram_create()};
	g_autoptr(histogram_t) expected = histogram_create();
	uint64_t value = 1;

	for (int i = 0; i < 3000; i++) {
		value = (value * 48271) % 2147483647;
		histogram_record(parts[i % 2], value);
		histogram_record(expected, value);
	}
	histogram_merge(parts[2], parts[0]);
	histogram_merge(parts[2], parts[1]);
	ck_assert_uint_eq(histogram_count(parts[2]), histogram_count(expected));
	ck_assert_uint_eq(histogram_min(parts[2]), histogram_min(expected));
	ck_assert_uint_eq(histogram_max(parts[2]), histogram_max(expected));
	for (int i = 0; i <= 1000; i++)
		ck_assert_uint_eq(histogram_quantile(parts[2], i / 1000.0),
		    histogram_quantile(expected, i / 1000.0));
	for (int i = 0; i < 3; i++)
		histogram_destroy(parts[i]);
}

TEST(count_to_counts_values_up_to_a_bound)
{
	g_autoptr(histogram_t) histogram = histogram_create();

	for (uint64_t value = 1; value <= 1000; value++)
		histogram_record(histogram, value * 1000);
	ck_assert_uint_eq(histogram_count_to(histogram, 0), 0);
	ck_assert_uint_le(histogram_count_to(histogram, 500000), 504);
	ck_assert_uint_ge(histogram_count_to(histogram, 500000), 500);
	ck_assert_uint_eq(histogram_count_to(histogram, UINT64_MAX), 1000);
	ck_assert_double_eq(histogram_sum(histogram), 500500000.0);
}

/* Guards against a write past the last bucket. */
TEST(too_large_value_counts_as_the_maximum)
{
	g_autoptr(histogram_t) histogram = histogram_create();

	histogram_record(histogram, UINT64_MAX);
	ck_assert_uint_eq(histogram_max(histogram), HISTOGRAM_MAX);
	ck_assert_uint_eq(histogram_quantile(histogram, 0.5), HISTOGRAM_MAX);
}

TEST_MAIN("histogram")
