#include "core/reach.h"
#include "test.h"

#define MS US_PER_MS

/* Guards against an instance that is taken for cut off as one target crashed.
 */
TEST(one_target_that_fails_says_nothing)
{
	reach_t reach = {0};

	for (time_us_t now = 0; now < 10 * US_PER_S; now += 50 * MS)
		ck_assert(!reach_note_failed(&reach, 1, 6, now));
	ck_assert(!reach_is_lost(&reach));
}

TEST(several_targets_that_fail_in_a_row_are_a_loss)
{
	reach_t reach = {0};

	ck_assert(!reach_note_failed(&reach, 1, 6, 100 * MS));
	ck_assert(!reach_note_failed(&reach, 2, 6, 200 * MS));
	ck_assert(!reach_note_failed(&reach, 1, 6, 250 * MS));
	ck_assert(reach_note_failed(&reach, 3, 6, 300 * MS));
	ck_assert(reach_is_lost(&reach));
	ck_assert(!reach_note_failed(&reach, 4, 6, 400 * MS));
	ck_assert(reach_note_connected(&reach, 400 * MS));
	ck_assert(!reach_is_lost(&reach));
	ck_assert(!reach_note_connected(&reach, 400 * MS));
}

/* Targets that crash one after the other, over minutes. */
TEST(failures_far_apart_are_no_loss)
{
	reach_t reach = {0};

	for (uint32_t i = 0; i < 100; i++)
		ck_assert(!reach_note_failed(
		    &reach, i, 6, (time_us_t)i * REACH_WINDOW_US / 2));
}

TEST(connection_in_between_is_no_loss)
{
	reach_t reach = {0};

	for (uint32_t i = 0; i < 100; i++) {
		ck_assert(!reach_note_failed(&reach, i, 6, i * MS));
		ck_assert(!reach_note_failed(&reach, i + 1, 6, i * MS));
		ck_assert(!reach_note_connected(&reach, i * MS));
	}
}

/* A region with fewer targets than failures are asked for. */
TEST(loss_of_all_of_few_targets)
{
	reach_t reach = {0};

	ck_assert(!reach_note_failed(&reach, 1, 2, 0));
	ck_assert(reach_note_failed(&reach, 2, 2, MS));
	reach = (reach_t){0};
	ck_assert(reach_note_failed(&reach, 1, 1, 0));
	reach = (reach_t){0};
	ck_assert(reach_note_failed(&reach, 1, 0, 0));
}

static int
n_probes(reach_t *reach, bool silent, time_us_t from, time_us_t to)
{
	int n = 0;

	for (time_us_t now = from; now < to; now += 10 * MS)
		n += reach_take_probe(reach, silent, now);
	return n;
}

/* Guards against verdicts that cost requests, and against idle probes. */
TEST(probes_are_sent_while_there_is_doubt)
{
	reach_t reach = {0};
	time_us_t now = 10 * US_PER_S;

	ck_assert_int_eq(n_probes(&reach, false, now, now + US_PER_S), 0);
	now += US_PER_S;
	ck_assert_int_eq(n_probes(&reach, true, now, now + US_PER_S), 10);
	now += US_PER_S;
	reach_note_failed(&reach, 1, 6, now);
	ck_assert_int_eq(n_probes(&reach, false, now, now + US_PER_S), 10);
	/* Nothing else failed: the doubt is over. */
	now += 2 * US_PER_S;
	ck_assert_int_eq(n_probes(&reach, false, now, now + US_PER_S), 0);
	now += US_PER_S;
	for (uint32_t i = 0; i < REACH_FAILURES; i++)
		reach_note_failed(&reach, i, 6, now);
	ck_assert(reach_is_lost(&reach));
	ck_assert_int_eq(
	    n_probes(&reach, false, now + MS, now + 30 * US_PER_S), 100);
	reach_note_connected(&reach, now);
	now += 30 * US_PER_S;
	ck_assert_int_eq(n_probes(&reach, false, now, now + US_PER_S), 0);
}

/*
 * Guards against connections without number to targets that answer slowly, and
 * are reached.
 */
TEST(slow_targets_are_probed_once_a_second)
{
	reach_t reach = {0};
	int n = 0;

	for (time_us_t now = US_PER_S; now < 21 * US_PER_S; now += 10 * MS) {
		if (!reach_take_probe(&reach, true, now))
			continue;
		n++;
		reach_note_connected(&reach, now + MS);
	}
	ck_assert_int_le(n, 20);
}

TEST_MAIN("reach")
