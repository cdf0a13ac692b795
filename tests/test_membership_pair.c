#include "core/membership.h"
#include "share_lists.h"
#include "test.h"

/* Instances a, b and e of zone z0, c and d of zone z1. */
#define N 5

typedef struct {
	membership_t *m[N];
	time_us_t now;
} fixture_t;

static const char names[] = "abecd";
static const uint32_t light_z0[] = {1, 3};
static const uint32_t heavy_z0[] = {3, 1};

static int
index_of(char name)
{
	return (int)(strchr(names, name) - names);
}

static fleet_t *
fleet_of(uint64_t version, const char *members)
{
	fleet_t *fleet = fleet_build(version, N);

	for (int i = 0; i < N; i++) {
		char name[] = {names[i], '\0'};

		if (strchr(members, names[i]) != NULL)
			fleet_put(
			    fleet, name, i < 3 ? "z0" : "z1", MEMBER_LIVE);
	}
	return fleet;
}

static void
fixture_adopt(fixture_t *t, const char *members, fleet_t *fleet, plans_t *plans,
    allowances_t *allowances)
{
	for (; *members != '\0'; members++)
		membership_adopt(
		    t->m[index_of(*members)], fleet, plans, allowances, t->now);
	fleet_unref(fleet);
	plans_unref(plans);
	allowances_unref(allowances);
}

static allowances_t *
weights_of(uint64_t version, const uint32_t *weights)
{
	return allowances_build(version, weights, 2, 3, 100, 100);
}

static void
fixture_start(fixture_t *t, char name, uint64_t incarnation)
{
	char text[] = {name, '\0'};
	int i = index_of(name);

	t->m[i] =
	    membership_create(text, i < 3 ? "z0" : "z1", incarnation, t->now);
	fixture_adopt(t, text, fleet_of(1, names), plans_build(1, "t:-"),
	    weights_of(1, light_z0));
}

static void
fixture_exchange(fixture_t *t, char from, char to)
{
	heartbeat_t request = {0}, reply = {0};

	membership_fill(t->m[index_of(from)], &request, t->now);
	membership_on_heartbeat(t->m[index_of(to)], &request, &reply, t->now);
	membership_on_reply(t->m[index_of(from)], &reply, t->now);
}

/* Lets some instances exchange heartbeats once a second. */
static void
fixture_run(fixture_t *t, const char *members, int seconds)
{
	for (int s = 0; s < seconds; s++) {
		t->now += US_PER_S;
		for (const char *from = members; *from != '\0'; from++) {
			for (const char *to = members; *to != '\0'; to++) {
				if (*from != *to)
					fixture_exchange(t, *from, *to);
			}
		}
	}
}

static fixture_t
fixture_create(void)
{
	fixture_t t = {.now = US_PER_S};

	for (int i = 0; i < N; i++)
		fixture_start(&t, names[i], 1);
	fixture_run(&t, names, 14);
	return t;
}

static void
fixture_destroy(fixture_t *t)
{
	for (int i = 0; i < N; i++)
		membership_destroy(t->m[i]);
}

static share_t
zone_share_at(const fixture_t *t, char name)
{
	return membership_zone_share(t->m[index_of(name)], "t");
}

static uint64_t
share_sum(const fixture_t *t)
{
	uint64_t sum = 0;

	for (int i = 0; i < N; i++)
		sum += membership_team_share(t->m[i], "t", t->now);
	return sum;
}

/* Guards against an acknowledgement that counts although its sender has since
 * restarted with older lists and holds a share under them. */
TEST(acknowledgement_before_restart_expires)
{
	fixture_t t = fixture_create();

	fixture_adopt(&t, "acd", NULL, NULL, weights_of(2, heavy_z0));
	fixture_run(&t, "acd", 2);
	membership_destroy(t.m[index_of('c')]);
	membership_destroy(t.m[index_of('d')]);
	fixture_start(&t, 'c', 2);
	fixture_start(&t, 'd', 2);
	fixture_run(&t, "becd", 14);
	fixture_adopt(&t, "be", NULL, NULL, weights_of(2, heavy_z0));
	fixture_run(&t, "abe", 2);
	ck_assert_uint_gt(share_sum(&t), SHARE_ONE - SHARE_ONE / 4);
	ck_assert_uint_le(share_sum(&t), SHARE_ONE);
	fixture_destroy(&t);
}

/* Guards against an agreement that reaches only instances in contact with all
 * others: here only a and c exchange heartbeats across zones. */
TEST(statements_are_passed_on)
{
	fixture_t t = fixture_create();

	fixture_adopt(&t, names, NULL, NULL, weights_of(2, heavy_z0));
	for (int s = 0; s < 3; s++) {
		fixture_run(&t, "abe", 1);
		fixture_run(&t, "cd", 1);
		fixture_run(&t, "ac", 1);
	}
	for (int i = 0; i < N; i++)
		ck_assert(membership_is_settled(t.m[i], LIST_ALLOWANCES, 2));
	fixture_destroy(&t);
}

/* Guards against a statement that counts although it has expired. */
TEST(statements_expire)
{
	fixture_t t = fixture_create();

	fixture_adopt(&t, names, NULL, NULL, weights_of(2, heavy_z0));
	fixture_run(&t, "cd", 1);
	fixture_exchange(&t, 'a', 'c');
	t.now += LOAN_US;
	fixture_run(&t, "abe", 2);
	ck_assert_uint_eq(zone_share_at(&t, 'a'), SHARE_ONE / 4);
	fixture_exchange(&t, 'c', 'd');
	fixture_exchange(&t, 'a', 'c');
	ck_assert_uint_eq(zone_share_at(&t, 'a'), SHARE_ONE - SHARE_ONE / 4);
	fixture_destroy(&t);
}

/* Guards against two texts of one version that count as the same list, and
 * statements about one that count for the other. */
TEST(other_digest_is_other_pair)
{
	plans_t *other = plans_build(2, "t:-");
	fixture_t t = fixture_create();

	other->head.digest[0] ^= 1;
	fixture_adopt(
	    &t, "abe", NULL, plans_build(2, "t:-"), weights_of(2, heavy_z0));
	fixture_adopt(&t, "cd", NULL, other, weights_of(2, heavy_z0));
	fixture_run(&t, names, 5);
	for (int i = 0; i < N; i++)
		ck_assert(!membership_is_settled(t.m[i], LIST_PLANS, 2));
	fixture_destroy(&t);
}

/* Guards against an agreement while a removed member may hold a share, or while
 * instances have different lists of a zone's members. */
TEST(pair_waits_for_fleet_agreement)
{
	fixture_t t = fixture_create();

	fixture_adopt(&t, "abce", fleet_of(2, "abec"), NULL, NULL);
	fixture_adopt(&t, names, NULL, NULL, weights_of(2, heavy_z0));
	fixture_run(&t, "abec", 10);
	ck_assert_uint_eq(zone_share_at(&t, 'a'), SHARE_ONE / 4);
	fixture_run(&t, "abec", FENCE_US / US_PER_S);
	ck_assert_uint_eq(zone_share_at(&t, 'a'), SHARE_ONE - SHARE_ONE / 4);
	ck_assert_uint_le(share_sum(&t), SHARE_ONE);
	fixture_adopt(&t, "ab", fleet_of(3, "abc"), NULL, NULL);
	fixture_adopt(&t, "abec", NULL, NULL, weights_of(3, light_z0));
	fixture_run(&t, "abec", 10);
	ck_assert_uint_eq(zone_share_at(&t, 'c'), SHARE_ONE / 4);
	fixture_destroy(&t);
}

TEST_MAIN("membership_pair")
