#include "core/team_rates.h"

#include <string.h>

#include "test.h"

#define INSTANCES 7
#define STEP_US (50 * US_PER_MS)
#define REPORT_STEPS 5 /* instances exchange reports every 250 ms */

typedef struct {
	team_rates_t *nodes[INSTANCES];
	catalog_t *catalog;
	time_us_t now;
} fixture_t;

static catalog_t *
catalog_make(double rate, double burst)
{
	catalog_t *catalog = catalog_create("1");
	catalog_team_t team = {.name = g_strdup("parish"),
	    .priority = -1,
	    .counts_tokens = true,
	    .rate = rate,
	    .burst = burst};

	catalog_add_team(catalog, &team);
	return catalog;
}

static fixture_t
fixture_create(double rate, double burst)
{
	fixture_t f = {.catalog = catalog_make(rate, burst), .now = US_PER_S};

	for (int i = 0; i < INSTANCES; i++) {
		f.nodes[i] = team_rates_create(0);
		team_rates_update(f.nodes[i], INSTANCES, f.now);
		team_rates_set_catalog(f.nodes[i], f.catalog, f.now);
	}
	return f;
}

static void
fixture_destroy(fixture_t *f)
{
	for (int i = 0; i < INSTANCES; i++)
		team_rates_destroy(f->nodes[i]);
	catalog_unref(f->catalog);
}

static void
reports_exchange(fixture_t *f)
{
	for (int i = 0; i < INSTANCES; i++) {
		team_demand_t demands[TEAM_DEMAND_LIMIT];
		size_t n;

		team_rates_update(f->nodes[i], INSTANCES, f->now);
		n = team_rates_own_demand(
		    f->nodes[i], demands, TEAM_DEMAND_LIMIT);
		for (int j = 0; j < INSTANCES; j++) {
			if (j != i)
				team_rates_report_instance(f->nodes[j],
				    (uint32_t)i + 1, demands, n, f->now);
		}
	}
}

/*
 * Offers tokens per second to the instances, divided by split, in requests of
 * cost. Sets *refused to the refused fraction. Returns the admitted tokens.
 */
static double
run(fixture_t *f, const double *split, double offered, double cost,
    double seconds, double *refused)
{
	double admitted = 0;
	double arrived = 0;
	double pending[INSTANCES] = {0};
	int steps = (int)(seconds * US_PER_S / STEP_US);

	for (int step = 0; step < steps; step++) {
		f->now += STEP_US;
		for (int i = 0; i < INSTANCES; i++) {
			time_us_t retry_after;

			pending[i] += split[i] * offered * STEP_US / US_PER_S;
			while (pending[i] >= cost) {
				pending[i] -= cost;
				arrived += cost;
				if (team_rates_charge(f->nodes[i], 0, cost,
					f->now, &retry_after))
					admitted += cost;
			}
		}
		if (step % REPORT_STEPS == 0)
			reports_exchange(f);
	}
	*refused = 1 - admitted / arrived;
	return admitted;
}

static const double even[] = {
    1.0 / 7, 1.0 / 7, 1.0 / 7, 1.0 / 7, 1.0 / 7, 1.0 / 7, 1.0 / 7};
static const double skewed[] = {0.6, 0.3, 0.1, 0, 0, 0, 0};
static const double moved[] = {0, 0, 0, 0, 0.1, 0.3, 0.6};

/* Load below the rate is served at whichever instance it arrives. */
TEST(load_within_rate_is_served_when_it_moves)
{
	fixture_t f = fixture_create(100000, 100000);
	double refused;

	run(&f, skewed, 80000, 2000, 8, &refused);
	ck_assert_double_le(refused, 0.03);
	run(&f, moved, 80000, 2000, 8, &refused);
	ck_assert_double_le(refused, 0.05);
	fixture_destroy(&f);
}

/* Few large requests per second make the demand of each instance uneven. */
TEST(steady_load_within_rate_is_served)
{
	fixture_t f = fixture_create(100000, 100000);

	double refused;

	run(&f, even, 90000, 9000, 24, &refused);
	ck_assert_double_le(refused, 0.01);
	run(&f, skewed, 90000, 9000, 20, &refused);
	ck_assert_double_le(refused, 0.03);
	fixture_destroy(&f);
}

/* Any 8 s admit at most (rate x 8 + burst) x 1.25 + 110,000 tokens, even when a
 * team sends six times its rate and its callers move. */
TEST(team_far_above_its_rate_is_limited)
{
	fixture_t f = fixture_create(100000, 100000);
	double limit = (100000 * 8 + 100000) * 1.25 + 110000;
	double refused;

	ck_assert_double_le(run(&f, even, 600000, 9000, 8, &refused), limit);
	ck_assert_double_le(run(&f, moved, 600000, 9000, 8, &refused), limit);
	ck_assert_double_le(run(&f, skewed, 600000, 9000, 8, &refused), limit);
	ck_assert_double_ge(
	    run(&f, skewed, 600000, 9000, 8, &refused), 0.9 * 800000);
	fixture_destroy(&f);
}

TEST(request_larger_than_the_share_goes_into_debt)
{
	fixture_t f = fixture_create(1000, 1000);
	time_us_t retry_after = 0;

	ck_assert(team_rates_charge(f.nodes[0], 0, 5000, f.now, &retry_after));
	ck_assert(!team_rates_charge(f.nodes[0], 0, 10, f.now, &retry_after));
	ck_assert_int_gt(retry_after, US_PER_S);
	team_rates_refund(f.nodes[0], 0, 5000);
	ck_assert(team_rates_charge(f.nodes[0], 0, 10, f.now, &retry_after));
	fixture_destroy(&f);
}

TEST(team_without_rate_has_no_limit)
{
	fixture_t f = fixture_create(0, 0);
	time_us_t retry_after = 0;

	for (int i = 0; i < 1000; i++)
		ck_assert(
		    team_rates_charge(f.nodes[0], 0, 1e6, f.now, &retry_after));
	fixture_destroy(&f);
}

TEST_MAIN("team_rates")
