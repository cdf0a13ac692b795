#include "balance/urgency.h"

#include "test.h"

TEST(team_comes_before_route)
{
	ck_assert_int_eq(urgency_class(-1, 0), 0);
	ck_assert_int_eq(urgency_class(-1, 2), 2);
	ck_assert_int_lt(urgency_class(0, 2), urgency_class(1, 0));
	ck_assert_int_lt(urgency_class(1, 0), urgency_class(1, 2));
	ck_assert_int_lt(urgency_class(1, 100), URGENCY_CLASSES);
	ck_assert_int_lt(urgency_class(100, 100), URGENCY_CLASSES);
}

TEST(reserve_follows_the_share_of_urgent_requests)
{
	urgency_t urgency = {0};
	time_us_t now = 10 * US_PER_S;

	ck_assert_double_eq(urgency_reserve(&urgency, 3), 0);
	for (int i = 0; i < 90; i++)
		urgency_note(&urgency, 3, 1, now);
	ck_assert_double_eq(urgency_reserve(&urgency, 3), 0);
	for (int i = 0; i < 10; i++)
		urgency_note(&urgency, 2, 1, now);
	ck_assert_double_eq_tol(urgency_reserve(&urgency, 3), 0.1, 1e-9);
	ck_assert_double_eq(urgency_reserve(&urgency, 2), 0);
	for (int i = 0; i < 900; i++)
		urgency_note(&urgency, 2, 1, now);
	ck_assert_double_eq(urgency_reserve(&urgency, 3), URGENCY_RESERVE_MAX);
	/* Requests that no longer come don't hold room. */
	urgency_note(&urgency, 3, 1, now + 20 * URGENCY_TAU_US);
	ck_assert_double_le(urgency_reserve(&urgency, 3), 0.01);
}

/* Guards against small urgent requests that close engines to all others. */
TEST(many_small_urgent_requests_hold_little_room)
{
	urgency_t urgency = {0};

	for (int i = 0; i < 100; i++) {
		urgency_note(&urgency, 0, urgency_work(200, 20), US_PER_S);
		urgency_note(&urgency, 1, urgency_work(6000, 400), US_PER_S);
	}
	ck_assert_double_le(urgency_reserve(&urgency, 1), 0.05);
	ck_assert_double_ge(urgency_work(0, 0), 1);
}

TEST(requests_wait_at_targets_only_where_little_is_reserved)
{
	ck_assert_double_eq(urgency_wait_limit_ms(0, 550, 2000), 1000);
	ck_assert_double_eq(urgency_wait_limit_ms(0, 550, 800), 550);
	ck_assert_double_eq(
	    urgency_wait_limit_ms(URGENCY_RESERVE_MAX, 550, 2000), 550);
}

TEST_MAIN("urgency")
