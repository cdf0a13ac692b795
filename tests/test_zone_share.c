#include "core/membership.h"
#include "core/zone_share.h"
#include "share_lists.h"
#include "test.h"

G_DEFINE_AUTOPTR_CLEANUP_FUNC(allowances_t, allowances_unref)
G_DEFINE_AUTOPTR_CLEANUP_FUNC(plans_t, plans_unref)

#define ZONES 3

/* Adopts a pair with zones of equal weight; teams as in plans_build(). */
static void
pair_adopt(zone_shares_t *shares, uint64_t plans_version,
    uint64_t allowances_version, const char *teams)
{
	static const uint32_t weights[ZONES] = {1, 1, 1};
	g_autoptr(plans_t) plans = plans_build(plans_version, teams);
	g_autoptr(allowances_t) allowances =
	    allowances_build(allowances_version, weights, ZONES, 7, 100, 100);

	zone_shares_adopt(shares, plans, allowances, 1000);
}

/* Returns the shares of zone z0 or z1 after the agreed pair (1, 1), which lists
 * team t. */
static zone_shares_t *
shares_start(const char *zone)
{
	zone_shares_t *shares = zone_shares_create(zone);

	pair_adopt(shares, 1, 1, "t:-");
	zone_shares_agree(shares, 1000);
	return shares;
}

/* Guards against refusing a new team until all instances have acknowledged. */
TEST(added_team_gets_its_share_at_once)
{
	zone_shares_t *shares = shares_start("z0");

	pair_adopt(shares, 2, 1, "t:- u:r0");
	ck_assert_uint_eq(zone_shares_lowest(shares, "u"), SHARE_ONE);
	ck_assert_uint_eq(zone_shares_n_lowered(shares), 0);
	zone_shares_destroy(shares);
}

/*
 * Guards against zone shares that add up to more than one: another instance may
 * hold a share under the version that this one skipped.
 */
TEST(skipped_version_delays_an_added_team)
{
	zone_shares_t *at_version_2 = shares_start("z0");
	zone_shares_t *at_version_3 = shares_start("z1");

	pair_adopt(at_version_2, 2, 1, "t:- u:r0");
	pair_adopt(at_version_3, 3, 1, "t:- u:r1");
	ck_assert_uint_le((uint64_t)zone_shares_lowest(at_version_2, "u") +
			      zone_shares_lowest(at_version_3, "u"),
	    SHARE_ONE);
	ck_assert_uint_eq(zone_shares_lowest(at_version_3, "u"), 0);
	zone_shares_agree(at_version_3, 2000);
	ck_assert_uint_eq(zone_shares_lowest(at_version_3, "u"), SHARE_ONE);
	zone_shares_destroy(at_version_2);
	zone_shares_destroy(at_version_3);
}

/* The same when another instance may have adopted only one of the new lists. */
TEST(change_of_both_lists_delays_an_added_team)
{
	zone_shares_t *shares = shares_start("z0");

	pair_adopt(shares, 2, 2, "t:- u:r0");
	ck_assert_uint_eq(zone_shares_lowest(shares, "u"), 0);
	zone_shares_destroy(shares);
}

/* The same when the previous pair is not agreed. */
TEST(pending_agreement_delays_an_added_team)
{
	zone_shares_t *shares = shares_start("z0");

	pair_adopt(shares, 2, 1, "t:- u:r0");
	pair_adopt(shares, 3, 1, "t:- u:r0 v:r0");
	ck_assert_uint_eq(zone_shares_lowest(shares, "u"), SHARE_ONE);
	ck_assert_uint_eq(zone_shares_lowest(shares, "v"), 0);
	zone_shares_destroy(shares);
}

/* The same when the plans list is divided into another number of parts, which
 * replaces all of them. */
TEST(new_division_delays_an_added_team)
{
	zone_shares_t *shares = shares_start("z0");
	plans_t *plans = plans_build(2, "t:- u:r0");
	static const uint32_t weights[ZONES] = {1, 1, 1};
	allowances_t *allowances =
	    allowances_build(1, weights, ZONES, 7, 100, 100);

	plans->parts = 2;
	zone_shares_adopt(shares, plans, allowances, 1000);
	ck_assert_uint_eq(zone_shares_lowest(shares, "u"), 0);
	plans_unref(plans);
	allowances_unref(allowances);
	zone_shares_destroy(shares);
}

TEST_MAIN("zone_share")
