#include <check.h>

#include "core/rollout.h"

#include "test.h"

/* Guards against counting the time of an instance that keeps up. */
TEST(lag_counts_from_the_first_report_of_the_version_that_is_missing)
{
	rollout_t rollout = {0};

	rollout_note(&rollout, "5", "4", US_PER_S);
	ck_assert_int_eq(rollout_lag(&rollout, 2 * US_PER_S), 0);
	rollout_note(&rollout, "5", "6", 2 * US_PER_S);
	rollout_note(&rollout, "5", "8", 3 * US_PER_S);
	ck_assert_int_eq(rollout_lag(&rollout, 3 * US_PER_S), US_PER_S);
	ck_assert_int_eq(
	    rollout_note_own(&rollout, "6", 3 * US_PER_S), US_PER_S);
	rollout_note(&rollout, "6", "8", 4 * US_PER_S);
	ck_assert_int_eq(rollout_lag(&rollout, 4 * US_PER_S), 0);
}

TEST(version_that_nobody_reports_any_more_is_not_missing)
{
	rollout_t rollout = {0};
	time_us_t later = US_PER_S + ROLLOUT_REPORT_MAX_AGE_US + 1;

	rollout_note(&rollout, "5", "6", US_PER_S);
	ck_assert_int_eq(rollout_lag(&rollout, later), 0);
	ck_assert_int_eq(rollout_note_own(&rollout, "6", later), -1);
}

TEST_MAIN("rollout")
