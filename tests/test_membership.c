#include "core/membership.h"
#include "share_lists.h"
#include "test.h"

/* Two instances a and b of zone z0, and c of zone z1. */
typedef struct {
	membership_t *m[3];
	time_us_t now;
} fixture_t;

static const char *const names[] = {"a", "b", "c"};
static const char *const zones[] = {"z0", "z0", "z1"};
static const uint32_t weights[] = {1, 3, 4};

static fleet_t *
fleet_of(uint64_t version, const char *members)
{
	fleet_t *fleet = fleet_build(version, 3);

	for (int i = 0; i < 3; i++) {
		if (strstr(members, names[i]) != NULL)
			fleet_put(fleet, names[i], zones[i], MEMBER_LIVE);
	}
	return fleet;
}

static void
fixture_adopt(
    fixture_t *t, int i, fleet_t *fleet, plans_t *plans, allowances_t *a)
{
	membership_adopt(t->m[i], fleet, plans, a, t->now);
	fleet_unref(fleet);
	plans_unref(plans);
	allowances_unref(a);
}

static void
fixture_exchange(fixture_t *t, int from, int to)
{
	heartbeat_t request = {0}, reply = {0};

	membership_fill(t->m[from], &request, t->now);
	membership_on_heartbeat(t->m[to], &request, &reply, t->now);
	membership_on_reply(t->m[from], &reply, t->now);
}

/* Lets the listed instances exchange heartbeats once a second. */
static void
fixture_run(fixture_t *t, const char *members, int seconds)
{
	for (int s = 0; s < seconds; s++) {
		t->now += US_PER_S;
		for (int i = 0; i < 3; i++) {
			for (int k = 0; k < 3; k++) {
				if (i != k &&
				    strstr(members, names[i]) != NULL &&
				    strstr(members, names[k]) != NULL)
					fixture_exchange(t, i, k);
			}
		}
	}
}

static void
fixture_start(fixture_t *t, const char *members)
{
	t->now = US_PER_S;
	for (int i = 0; i < 3; i++) {
		t->m[i] = membership_create(
		    names[i], zones[i], (incarnation_t)i + 1, t->now);
		fixture_adopt(t, i, fleet_of(1, members),
		    plans_build(1, "t:- h:r1"),
		    allowances_build(1, weights, 3, 3, 100, 100));
	}
}

static void
fixture_stop(fixture_t *t)
{
	for (int i = 0; i < 3; i++)
		membership_destroy(t->m[i]);
}

/* Guards against a new process that holds a share before the loans of its
 * predecessor have expired, and against a fleet that never gets any share. */
TEST(new_fleet_gets_share_after_loan_time)
{
	fixture_t t;

	fixture_start(&t, "abc");
	fixture_run(&t, "abc", 10);
	ck_assert(membership_has_lease(t.m[0], t.now));
	ck_assert_uint_eq(membership_share(t.m[0], t.now), 0);
	fixture_run(&t, "abc", 4);
	ck_assert_uint_eq(membership_share(t.m[0], t.now), SHARE_ONE / 2);
	ck_assert_uint_eq(membership_share(t.m[2], t.now), SHARE_ONE);
	ck_assert_uint_eq(
	    membership_team_share(t.m[0], "t", t.now), SHARE_ONE / 8);
	ck_assert_uint_eq(membership_team_share(t.m[0], "h", t.now), 0);
	ck_assert(membership_is_settled(t.m[0], LIST_PLANS, 1));
	fixture_stop(&t);
}

/* Guards against a share that is used without a lease, and a lease granted by a
 * reply that belongs to no request. */
TEST(share_ends_with_the_lease)
{
	heartbeat_t request = {0}, reply = {0};
	fixture_t t;

	fixture_start(&t, "abc");
	fixture_run(&t, "abc", 14);
	t.now += LEASE_US - 1;
	ck_assert_uint_gt(membership_share(t.m[0], t.now), 0);
	membership_fill(t.m[0], &request, t.now - 5);
	membership_on_heartbeat(t.m[1], &request, &reply, t.now);
	reply.sent_at = t.now - 4;
	membership_on_reply(t.m[0], &reply, t.now);
	t.now += 1;
	ck_assert_uint_eq(membership_share(t.m[0], t.now), 0);
	fixture_stop(&t);
}

/* Guards against a share that grows before the removed member is fenced, and
 * against a single remaining member that never gets that member's share. */
TEST(share_grows_after_fence)
{
	fixture_t t;

	fixture_start(&t, "abc");
	fixture_run(&t, "abc", 14);
	fixture_adopt(&t, 0, fleet_of(2, "ac"), NULL, NULL);
	fixture_adopt(&t, 2, fleet_of(2, "ac"), NULL, NULL);
	fixture_run(&t, "ac", FENCE_US / US_PER_S);
	ck_assert_uint_eq(membership_share(t.m[0], t.now), SHARE_ONE / 2);
	ck_assert_uint_eq(membership_share(t.m[1], t.now), 0);
	fixture_run(&t, "ac", 3);
	ck_assert_uint_eq(membership_share(t.m[0], t.now), SHARE_ONE);
	fixture_stop(&t);
}

/* Guards against an acknowledgement of a later version that also counts for a
 * version that its sender skipped: a's share would be larger under that one. */
TEST(skipped_version_is_not_acknowledged)
{
	fixture_t t;

	fixture_start(&t, "abc");
	fixture_run(&t, "abc", 14);
	fixture_adopt(&t, 0, fleet_of(2, "ac"), NULL, NULL);
	fixture_adopt(&t, 1, fleet_of(3, "abc"), NULL, NULL);
	fixture_adopt(&t, 2, fleet_of(2, "ac"), NULL, NULL);
	fixture_run(&t, "abc", 5);
	ck_assert(!membership_is_settled(t.m[0], LIST_FLEET, 2));
	/* b is fenced after FENCE_US, as a and c refuse it a lease. */
	fixture_run(&t, "abc", FENCE_US / US_PER_S);
	ck_assert(membership_is_settled(t.m[0], LIST_FLEET, 2));
	ck_assert_uint_le(
	    membership_share(t.m[0], t.now) + membership_share(t.m[1], t.now),
	    SHARE_ONE);
	fixture_stop(&t);
}

static share_t
lent_max(void *context)
{
	return *(share_t *)context;
}

/* Guards against an acknowledgement while lent shares exceed the new share. */
TEST(acknowledgement_waits_for_loans)
{
	share_t lent = SHARE_ONE / 2;
	heartbeat_t out = {0};
	fixture_t t;

	fixture_start(&t, "abc");
	fixture_run(&t, "abc", 14);
	membership_set_lent_source(t.m[1], lent_max, &lent);
	for (int i = 0; i < 3; i++)
		fixture_adopt(&t, i, fleet_of(2, "ac"), NULL, NULL);
	fixture_run(&t, "abc", 5);
	ck_assert_uint_eq(membership_share(t.m[1], t.now), 0);
	ck_assert_uint_eq(membership_share(t.m[0], t.now), SHARE_ONE / 2);
	lent = 0;
	fixture_run(&t, "abc", 2);
	membership_fill(t.m[1], &out, t.now);
	ck_assert_uint_eq(out.acked[LIST_FLEET], 2);
	ck_assert_uint_eq(membership_share(t.m[0], t.now), SHARE_ONE);
	fixture_stop(&t);
}

/* Guards against a zone share that rises before all have acknowledged, and
 * against entries kept for teams whose zone share didn't rise. */
TEST(zone_share_rises_when_all_acknowledged)
{
	static const uint32_t heavier[] = {3, 1, 4};
	fixture_t t;

	fixture_start(&t, "abc");
	fixture_run(&t, "abc", 14);
	for (int i = 0; i < 2; i++)
		fixture_adopt(&t, i, NULL, NULL,
		    allowances_build(2, heavier, 3, 3, 100, 100));
	fixture_run(&t, "abc", 3);
	ck_assert_uint_eq(membership_zone_share(t.m[0], "t"), SHARE_ONE / 4);
	ck_assert_uint_eq(membership_zone_share_newest(t.m[0], "t"),
	    SHARE_ONE - SHARE_ONE / 4);
	ck_assert_uint_eq(membership_n_pending_raises(t.m[0]), 1);
	fixture_adopt(
	    &t, 2, NULL, NULL, allowances_build(2, heavier, 3, 3, 100, 100));
	ck_assert_uint_eq(membership_zone_share(t.m[2], "t"), SHARE_ONE / 4);
	fixture_run(&t, "abc", 3);
	ck_assert_uint_eq(
	    membership_zone_share(t.m[0], "t"), SHARE_ONE - SHARE_ONE / 4);
	ck_assert_uint_eq(membership_n_pending_raises(t.m[0]), 0);
	fixture_stop(&t);
}

/* Guards against lists of one version but other text that count as the same. */
TEST(other_digest_is_not_acknowledged)
{
	fleet_t *other = fleet_of(2, "ac");
	fixture_t t;

	fixture_start(&t, "abc");
	fixture_run(&t, "abc", 14);
	fixture_adopt(&t, 0, fleet_of(2, "abc"), NULL, NULL);
	other->head.digest[0] ^= 1;
	fixture_adopt(&t, 1, other, NULL, NULL);
	fixture_run(&t, "abc", 3);
	ck_assert(!membership_is_settled(t.m[0], LIST_FLEET, 2));
	fixture_stop(&t);
}

/* Guards against two sets of parts with the same sum of versions that count as
 * the same plans list. */
TEST(other_parts_of_same_sum_are_not_acknowledged)
{
	fixture_t t;

	fixture_start(&t, "abc");
	fixture_run(&t, "abc", 14);
	for (int i = 0; i < 3; i++) {
		plans_t *part = plans_build(i == 1 ? 5 : 6, "t:-");
		plans_t *other = plans_build(i == 1 ? 6 : 5, "h:r1");
		plans_t *parts[] = {part, other};

		fixture_adopt(&t, i, NULL, plans_combine(parts, 2), NULL);
		plans_unref(part);
		plans_unref(other);
	}
	fixture_run(&t, "abc", 3);
	for (int i = 0; i < 3; i++)
		ck_assert(!membership_is_settled(t.m[i], LIST_PLANS, 11));
	fixture_stop(&t);
}

/* Guards against slots assigned to two instances or to none. */
TEST(slots_are_divided)
{
	target_t target = {.name = "w1", .zone = "z0", .slots = 7};
	fixture_t t;

	fixture_start(&t, "abc");
	ck_assert_uint_eq(membership_slots(t.m[0], &target, t.now), 0);
	fixture_run(&t, "abc", 14);
	ck_assert_uint_eq(membership_slots(t.m[0], &target, t.now) +
			      membership_slots(t.m[1], &target, t.now),
	    7);
	ck_assert_uint_eq(membership_slots(t.m[2], &target, t.now), 0);
	fixture_stop(&t);
}

TEST_MAIN("membership")
