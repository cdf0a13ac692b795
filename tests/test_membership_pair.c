#include "core/membership.h"
#include "share_lists.h"
#include "test.h"

/* Instances a, b and e of zone z0, c and d of zone z1. */
#define N 5

typedef struct {
	membership_t *m[N];
	time_us_t now;
} fleet_case_t;

static const char names[] = "abecd";
static const uint32_t light[] = {1, 3};
static const uint32_t heavy[] = {3, 1};

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
case_adopt(fleet_case_t *t, const char *who, fleet_t *fleet, plans_t *plans,
    allowances_t *allowances)
{
	for (; *who != '\0'; who++)
		membership_adopt(
		    t->m[index_of(*who)], fleet, plans, allowances, t->now);
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
case_start(fleet_case_t *t, char name, uint64_t incarnation)
{
	char text[] = {name, '\0'};
	int i = index_of(name);

	t->m[i] =
	    membership_create(text, i < 3 ? "z0" : "z1", incarnation, t->now);
	case_adopt(t, text, fleet_of(1, names), plans_build(1, "t:-"),
	    weights_of(1, light));
}

static void
case_exchange(fleet_case_t *t, char from, char to)
{
	heartbeat_t request = {0}, reply = {0};

	membership_fill(t->m[index_of(from)], &request, t->now);
	membership_on_heartbeat(t->m[index_of(to)], &request, &reply, t->now);
	membership_on_reply(t->m[index_of(from)], &reply, t->now);
}

/* Lets some instances exchange heartbeats once a second. */
static void
case_run(fleet_case_t *t, const char *who, int seconds)
{
	for (int s = 0; s < seconds; s++) {
		t->now += US_PER_S;
		for (const char *from = who; *from != '\0'; from++) {
			for (const char *to = who; *to != '\0'; to++) {
				if (*from != *to)
					case_exchange(t, *from, *to);
			}
		}
	}
}

static fleet_case_t
case_create(void)
{
	fleet_case_t t = {.now = US_PER_S};

	for (int i = 0; i < N; i++)
		case_start(&t, names[i], 1);
	case_run(&t, names, 14);
	return t;
}

static void
case_destroy(fleet_case_t *t)
{
	for (int i = 0; i < N; i++)
		membership_destroy(t->m[i]);
}

static share_t
part_at(const fleet_case_t *t, char name)
{
	return membership_part(t->m[index_of(name)], "t");
}

static uint64_t
share_sum(const fleet_case_t *t)
{
	uint64_t sum = 0;

	for (int i = 0; i < N; i++)
		sum += membership_team_share(t->m[i], "t", t->now);
	return sum;
}

/* Guards against an acknowledgement that counts although its sender has since
 * restarted with older lists and holds a share under them. */
TEST(restart_after_acknowledgement)
{
	fleet_case_t t = case_create();

	case_adopt(&t, "acd", NULL, NULL, weights_of(2, heavy));
	case_run(&t, "acd", 2);
	membership_destroy(t.m[index_of('c')]);
	membership_destroy(t.m[index_of('d')]);
	case_start(&t, 'c', 2);
	case_start(&t, 'd', 2);
	case_run(&t, "becd", 14);
	case_adopt(&t, "be", NULL, NULL, weights_of(2, heavy));
	case_run(&t, "abe", 2);
	ck_assert_uint_gt(share_sum(&t), SHARE_ONE - SHARE_ONE / 4);
	ck_assert_uint_le(share_sum(&t), SHARE_ONE);
	case_destroy(&t);
}

/* Guards against an agreement that reaches only instances in contact with all
 * others: here only a and c exchange heartbeats across zones. */
TEST(statements_are_passed_on)
{
	fleet_case_t t = case_create();

	case_adopt(&t, names, NULL, NULL, weights_of(2, heavy));
	for (int s = 0; s < 3; s++) {
		case_run(&t, "abe", 1);
		case_run(&t, "cd", 1);
		case_run(&t, "ac", 1);
	}
	for (int i = 0; i < N; i++)
		ck_assert(membership_is_settled(t.m[i], LIST_ALLOWANCES, 2));
	case_destroy(&t);
}

/* Guards against a statement that counts although it has expired. */
TEST(statements_expire)
{
	fleet_case_t t = case_create();

	case_adopt(&t, names, NULL, NULL, weights_of(2, heavy));
	case_run(&t, "cd", 1);
	case_exchange(&t, 'a', 'c');
	t.now += LOAN_US;
	case_run(&t, "abe", 2);
	ck_assert_uint_eq(part_at(&t, 'a'), SHARE_ONE / 4);
	case_exchange(&t, 'c', 'd');
	case_exchange(&t, 'a', 'c');
	ck_assert_uint_eq(part_at(&t, 'a'), SHARE_ONE - SHARE_ONE / 4);
	case_destroy(&t);
}

/* Guards against two texts of one version that count as the same list, and
 * statements about one that count for the other. */
TEST(other_text_is_other_pair)
{
	plans_t *other = plans_build(2, "t:-");
	fleet_case_t t = case_create();

	other->head.digest[0] ^= 1;
	case_adopt(
	    &t, "abe", NULL, plans_build(2, "t:-"), weights_of(2, heavy));
	case_adopt(&t, "cd", NULL, other, weights_of(2, heavy));
	case_run(&t, names, 5);
	for (int i = 0; i < N; i++)
		ck_assert(!membership_is_settled(t.m[i], LIST_PLANS, 2));
	case_destroy(&t);
}

/* Guards against an agreement while a removed member may hold a share, or while
 * instances have different lists of a zone's members. */
TEST(pair_waits_for_the_fleet)
{
	fleet_case_t t = case_create();

	case_adopt(&t, "abce", fleet_of(2, "abec"), NULL, NULL);
	case_adopt(&t, names, NULL, NULL, weights_of(2, heavy));
	case_run(&t, "abec", 10);
	ck_assert_uint_eq(part_at(&t, 'a'), SHARE_ONE / 4);
	case_run(&t, "abec", FENCE_US / US_PER_S);
	ck_assert_uint_eq(part_at(&t, 'a'), SHARE_ONE - SHARE_ONE / 4);
	ck_assert_uint_le(share_sum(&t), SHARE_ONE);
	case_adopt(&t, "ab", fleet_of(3, "abc"), NULL, NULL);
	case_adopt(&t, "abec", NULL, NULL, weights_of(3, light));
	case_run(&t, "abec", 10);
	ck_assert_uint_eq(part_at(&t, 'c'), SHARE_ONE / 4);
	case_destroy(&t);
}

TEST_MAIN("membership_pair")
