#include <glib.h>

#include "core/bucket.h"
#include "test.h"

G_DEFINE_AUTOPTR_CLEANUP_FUNC(bucket_t, bucket_destroy)

#define T(tokens) ((int64_t)(tokens)*TOKEN_MICRO)

static bucket_t *
bucket_full(int64_t rate, int64_t capacity)
{
	bucket_t *bucket = bucket_create(0);

	bucket_set_limits(bucket, T(rate), T(capacity), 0);
	bucket_add(bucket, T(capacity), 0);
	return bucket;
}

/* Guards against a bucket that admits more than it holds or refills wrongly. */
TEST(level_follows_rate_and_capacity)
{
	g_autoptr(bucket_t) bucket = bucket_full(10, 100);
	reservation_t r;

	ck_assert(!bucket_reserve(bucket, T(101), 0, &r));
	ck_assert(bucket_reserve(bucket, T(100), 0, &r));
	ck_assert(!bucket_reserve(bucket, 1, 0, &r));
	ck_assert_int_eq(bucket_level(bucket, 50000), T(1) / 2);
	ck_assert_int_eq(bucket_ready_at(bucket, T(30), 50000), 3 * US_PER_S);
	ck_assert_int_eq(bucket_ready_at(bucket, T(101), 0), INT64_MAX);
	ck_assert_int_eq(bucket_level(bucket, INT64_MAX / 2), T(100));
	bucket_set_limits(bucket, T(10), T(40), INT64_MAX / 2);
	ck_assert_int_eq(bucket_level(bucket, INT64_MAX / 2), T(40));
	ck_assert_int_eq(bucket_withdraw(bucket, T(50), INT64_MAX / 2), T(40));
}

/* Guards against lost fractions at rates below one micro-token a microsecond.
 */
TEST(small_rates_are_exact)
{
	g_autoptr(bucket_t) bucket = bucket_create(0);

	bucket_set_limits(bucket, 3, T(1), 0);
	for (time_us_t now = 0; now <= 2 * US_PER_S; now += 1000)
		bucket_level(bucket, now);
	ck_assert_int_eq(bucket_level(bucket, 2 * US_PER_S), 6);
}

/* Guards against returning tokens that would have overflowed since, and against
 * settling twice. */
TEST(settlement_counts_once_without_overflow)
{
	g_autoptr(bucket_t) bucket = bucket_full(10, 100);
	reservation_t r, again;

	ck_assert(bucket_reserve(bucket, T(100), 0, &r));
	again = r;
	/* With a cost of 20 the bucket is full again after 2 s. */
	ck_assert_int_eq(bucket_settle(bucket, &r, T(20), 5 * US_PER_S), T(50));
	ck_assert_int_eq(bucket_level(bucket, 5 * US_PER_S), T(100));
	ck_assert(bucket_reserve(bucket, T(100), 5 * US_PER_S, &r));
	ck_assert_int_eq(bucket_settle(bucket, &again, 0, 5 * US_PER_S), 0);
	ck_assert_int_eq(bucket_level(bucket, 5 * US_PER_S), 0);
}

/* Guards against an overrun of the event ring: when it is full, the oldest
 * reservation is dropped and can no longer return tokens. */
TEST(full_ring_drops_oldest_reservation)
{
	g_autoptr(bucket_t) bucket = bucket_full(0, 5000);
	reservation_t r[BUCKET_EVENT_LIMIT + 1];

	for (int i = 0; i <= BUCKET_EVENT_LIMIT; i++)
		ck_assert(bucket_reserve(bucket, T(2), i, &r[i]));
	ck_assert_int_eq(bucket_n_open(bucket), BUCKET_EVENT_LIMIT);
	ck_assert_int_eq(bucket_settle(bucket, &r[0], 0, 5000), 0);
	for (int i = 1; i <= BUCKET_EVENT_LIMIT; i++)
		ck_assert_int_eq(bucket_settle(bucket, &r[i], 0, 5000), T(2));
	ck_assert_int_eq(bucket_level(bucket, 5000), T(4998));
	ck_assert_int_eq(bucket_n_open(bucket), 0);
}

#define N_OPEN 12

/*
 * Guards against a replay whose result differs from a bucket that is charged
 * with the real costs at admission. Reservations, limits, loans and settlements
 * are random.
 */
TEST(replay_equals_real_costs)
{
	for (uint32_t seed = 1; seed <= 300; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		bucket_t *a = bucket_full(10, 100);
		bucket_t *real = bucket_full(10, 100);
		reservation_t open[N_OPEN] = {{0, 0}};
		int64_t cost[N_OPEN];
		time_us_t now = 0;

		for (int step = 0; step < 200; step++) {
			int k = g_rand_int_range(rand, 0, N_OPEN);
			int64_t amount = g_rand_int_range(rand, 0, 40000000);
			reservation_t r;

			now += g_rand_int_range(rand, 0, 700000);
			if (step % 17 == 0) {
				bucket_set_limits(a, amount, amount * 4, now);
				bucket_set_limits(
				    real, amount, amount * 4, now);
			} else if (step % 13 == 0) {
				bucket_add(a, amount, now);
				bucket_add(real, amount, now);
			} else if (open[k].id != 0) {
				bucket_settle(a, &open[k], cost[k], now);
			} else if (bucket_reserve(a, amount, now, &open[k])) {
				cost[k] = amount / 3;
				ck_assert(
				    bucket_reserve(real, cost[k], now, &r));
				bucket_settle(real, &r, cost[k], now);
			}
			ck_assert_int_le(
			    bucket_level(a, now), bucket_level(real, now));
		}
		for (int k = 0; k < N_OPEN; k++)
			bucket_settle(a, &open[k], cost[k], now);
		ck_assert_msg(bucket_level(a, now) == bucket_level(real, now),
		    "seed %u", seed);
		bucket_destroy(a);
		bucket_destroy(real);
		g_rand_free(rand);
	}
}

TEST_MAIN("bucket")
