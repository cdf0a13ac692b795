#include "balance/overflow.h"

#include <glib.h>
#include <stdbool.h>

#include "core/random.h"
#include "test.h"

TEST(no_region_with_room)
{
	overflow_share_t shares[3] = {{0}, {1}, {0}};

	overflow_note_sent(&shares[1]);
	overflow_note_sent(&shares[1]);

	for (uint64_t i = 0; i < 100; i++)
		ck_assert_uint_eq(
		    overflow_pick(shares, 3, i << 57), OVERFLOW_NONE);
	ck_assert_uint_eq(overflow_pick(shares, 0, 1), OVERFLOW_NONE);
}

TEST(choice_is_in_proportion_to_room)
{
	overflow_share_t shares[3] = {{0}, {100}, {300}};
	unsigned n[3] = {0};
	uint64_t random = 1;

	for (int i = 0; i < 10000; i++)
		n[overflow_pick(shares, 3, random_next(&random))]++;
	ck_assert_uint_eq(n[0], 0);
	ck_assert_double_eq_tol(n[1] / 10000.0, 0.25, 0.02);
}

TEST(shares_add_up_to_the_room)
{
	uint64_t random = 1;
	double sum = 0;

	for (int i = 0; i < 10000; i++) {
		overflow_share_t share;

		overflow_note_report(
		    &share, 100, true, 84, random_next(&random));
		ck_assert_uint_ge(share.left, 1);
		ck_assert_uint_le(share.left, 2);
		sum += share.left;
	}
	ck_assert_double_eq_tol(sum / 10000 * 84, 100, 2);
}

/* Guards against plain services that get a request in two reports. */
TEST(room_of_a_plain_service_is_not_divided)
{
	overflow_share_t share;

	overflow_note_report(&share, 12, false, 84, 1);
	ck_assert_uint_eq(share.left, 12);
}

/*
 * A region at its peak: its instances want to pass on more than the others have
 * room for. Each hears of each region's room at its own moment, every
 * REPORT_MS. What a region starts in its time is served; what exceeds its room
 * is refused there.
 */
#define REGIONS 2
#define REPORT_MS 400
#define STEPS_MS 4000
#define SERVED_PER_MS_SMALL 0.06
#define SERVED_PER_MS_LARGE 0.18

typedef struct {
	unsigned n_sent;
	unsigned n_served;
	unsigned n_refused;
} outcome_t;

/* all_to_best: each takes the region with the most room, as told. */
static outcome_t
peak_run(unsigned n_instances, double per_ms, bool all_to_best)
{
	static const double served_per_ms[REGIONS] = {
	    SERVED_PER_MS_SMALL, SERVED_PER_MS_LARGE};
	/* Twice what starts between two reports. */
	double limit[REGIONS];
	double free[REGIONS];
	g_autofree double(*told)[REGIONS] =
	    g_malloc0_n(n_instances, sizeof(*told));
	g_autofree overflow_share_t(*shares)[REGIONS] =
	    g_malloc0_n(n_instances, sizeof(*shares));
	outcome_t outcome = {0};
	uint64_t random = n_instances;
	double owed = 0;

	for (int r = 0; r < REGIONS; r++)
		free[r] = limit[r] = 2 * REPORT_MS * served_per_ms[r];
	for (unsigned ms = 0; ms < STEPS_MS; ms++) {
		for (int r = 0; r < REGIONS; r++)
			free[r] = MIN(limit[r], free[r] + served_per_ms[r]);
		for (unsigned i = 0; i < n_instances; i++) {
			if ((ms + i * 7) % REPORT_MS != 0)
				continue;
			for (int r = 0; r < REGIONS; r++) {
				told[i][r] = free[r];
				overflow_note_report(&shares[i][r],
				    (uint32_t)free[r], true, n_instances,
				    random_next(&random));
			}
		}
		owed += per_ms;
		while (owed >= 1) {
			unsigned i =
			    (unsigned)(random_next(&random) % n_instances);
			size_t r = overflow_pick(
			    shares[i], REGIONS, random_next(&random));

			if (all_to_best)
				r = told[i][0] > told[i][1] ? 0 : 1;
			owed -= 1;
			if (r == OVERFLOW_NONE)
				continue;
			if (!all_to_best)
				overflow_note_sent(&shares[i][r]);
			outcome.n_sent++;
			if (free[r] >= 1) {
				free[r] -= 1;
				outcome.n_served++;
			} else {
				outcome.n_refused++;
			}
		}
	}
	return outcome;
}

/* Demand of three times what the other regions can start. */
TEST(what_is_passed_on_is_served_there)
{
	static const unsigned sizes[] = {8, 84, 300};
	double most = (SERVED_PER_MS_SMALL + SERVED_PER_MS_LARGE) *
		      (STEPS_MS + 2 * REPORT_MS);

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		double per_ms = 3 * (SERVED_PER_MS_SMALL + SERVED_PER_MS_LARGE);
		outcome_t best = peak_run(sizes[i], per_ms, true);
		outcome_t shared = peak_run(sizes[i], per_ms, false);

		ck_assert_msg(shared.n_served >= 0.95 * shared.n_sent,
		    "%u instances: %u of %u", sizes[i], shared.n_served,
		    shared.n_sent);
		ck_assert_msg(best.n_served <= 0.5 * best.n_sent,
		    "%u instances: %u of %u", sizes[i], best.n_served,
		    best.n_sent);
		/* Room is not left unused. */
		ck_assert_msg(shared.n_served >= 0.7 * most,
		    "%u instances: %u of %g", sizes[i], shared.n_served, most);
	}
}

TEST_MAIN("overflow")
