#include "experiments.h"

#include <math.h>

#include "model.h"
#include "table.h"

#define N_TEAMS 8

/* A team's rate limit, as a multiple of what it usually sends. */
#define LIMIT_FACTOR 1.25

/* Runs with different load behind each row; the p99 of one run varies by a
 * tenth, and more in the 30 s after a recovery. */
#define POLICY_SEEDS 2
#define ISOLATION_SEEDS 3
#define RECOVERY_SEEDS 50

/* Requests a second that the model sustains; measured once by capacity_get. */
static double capacity;

static model_settings_t
settings_new(uint64_t seed, double rate)
{
	model_settings_t settings = {
	    .seed = seed,
	    .route = {ROUTE_POLICY_DEFAULT, ROUTE_WARM_UP_DEFAULT},
	    .n_instances = 3,
	    .n_targets = 12,
	    .n_teams = N_TEAMS,
	    .zipf = 1.0,
	    .warm_up = 60 * US_PER_S,
	    .duration = 660 * US_PER_S,
	    .queue_limit = 400,
	};

	for (int i = 0; i < N_TEAMS; i++)
		settings.rate[i] = rate / N_TEAMS;
	return settings;
}

/* Measures the rate of started requests while more than enough arrive. */
static double
capacity_get(uint64_t seed)
{
	model_settings_t settings = settings_new(seed, 200);
	model_result_t result;

	if (capacity > 0)
		return capacity;
	model_run(&settings, 1, &result);
	capacity = (double)result.started / result.seconds;
	model_result_clear(&result);
	return capacity;
}

static uint64_t
sum(const uint64_t *values, int from)
{
	uint64_t total = 0;

	for (int i = from; i < N_TEAMS; i++)
		total += values[i];
	return total;
}

static double
share(uint64_t part, uint64_t whole)
{
	return whole == 0 ? 0 : 100.0 * (double)part / (double)whole;
}

/* Skews and loads of the comparison of policies. */
static const double skews[] = {0.8, 1.0, 1.4};
static const double loads[] = {0.5, 0.75, 0.9};

/* Sums of logarithms over all cases, for geometric means. */
typedef struct {
	double p99[ROUTE_POLICY_COUNT];
	double cost[ROUTE_POLICY_COUNT];
} policy_sum_t;

static void
policy_row(json_t *table, route_policy_t policy, double skew, double load,
    uint64_t seed, policy_sum_t *total)
{
	model_settings_t settings =
	    settings_new(seed, load * capacity_get(seed));
	model_result_t result;
	GArray *first;
	double p99;
	double cost;

	settings.route.policy = policy;
	settings.zipf = skew;
	model_run(&settings, POLICY_SEEDS, &result);
	first = result.first_token;
	p99 = percentile(first, 99);
	cost = (double)result.computed / (double)result.started;
	total->p99[policy] += log(p99);
	total->cost[policy] += log(cost);
	table_row(table,
	    json_pack("{s:o, s:o, s:s, s:o, s:o, s:o, s:o, s:o, s:o}", "skew",
		table_number(skew, 1), "load %", table_number(100 * load, 0),
		"policy", route_policy_name(policy), "p50 ms",
		table_number(percentile(first, 50), 1), "p99 ms",
		table_number(p99, 1), "p99.9 ms",
		table_number(percentile(first, 99.9), 1), "cost tokens/request",
		table_number(cost, 1), "cache hits %",
		table_number(share(result.hits, result.started), 1),
		"in time %",
		table_number(
		    share(sum(result.in_time, 0), sum(result.arrived, 0)), 2)));
	model_result_clear(&result);
}

static void
policy_summary(json_t *tables, const policy_sum_t *total)
{
	json_t *table = table_add(tables, "Route policies, summary",
	    "Geometric means over the cases of the table above, with "
	    "affinity_bounded as 100%. The default is the policy with the "
	    "lowest p99 and cost.");
	int cases = (int)(G_N_ELEMENTS(skews) * G_N_ELEMENTS(loads));

	for (int p = 0; p < ROUTE_POLICY_COUNT; p++) {
		int base = ROUTE_AFFINITY_BOUNDED;

		table_row(table,
		    json_pack("{s:s, s:o, s:o, s:s}", "policy",
			route_policy_name((route_policy_t)p), "p99 %",
			table_number(
			    100 *
				exp((total->p99[p] - total->p99[base]) / cases),
			    1),
			"cost %",
			table_number(
			    100 * exp((total->cost[p] - total->cost[base]) /
				      cases),
			    1),
			"default", p == ROUTE_POLICY_DEFAULT ? "yes" : "no"));
	}
}

void
experiment_policies(json_t *tables, uint64_t seed)
{
	policy_sum_t total = {{0}, {0}};
	json_t *table = table_add(tables, "Route policies",
	    "Time to first token, prompt tokens computed for a request and "
	    "share of prefixes found in a cache. Load reports lag 500 ms. "
	    "Skew is the Zipf exponent of the prefixes. Two runs for each "
	    "row.");

	for (size_t s = 0; s < G_N_ELEMENTS(skews); s++) {
		for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
			for (int p = 0; p < ROUTE_POLICY_COUNT; p++)
				policy_row(table, (route_policy_t)p, skews[s],
				    loads[i], seed, &total);
		}
	}
	policy_summary(tables, &total);
}

typedef enum { QUEUE_CORE, QUEUE_FIFO, QUEUE_CORE_LIMITED } queue_kind_t;

static const char *
queue_kind_name(queue_kind_t kind)
{
	switch (kind) {
	case QUEUE_CORE:
		return "core/queue";
	case QUEUE_FIFO:
		return "FIFO";
	case QUEUE_CORE_LIMITED:
		break;
	}
	return "core/queue, rate limit";
}

/* Team 0 is the one that may send 5 times its rate. */
static double
isolation_row(json_t *table, queue_kind_t kind, double load, double factor,
    double baseline, uint64_t seed)
{
	model_settings_t settings =
	    settings_new(seed, load * capacity_get(seed));
	model_result_t result;
	GArray *others = g_array_new(FALSE, FALSE, sizeof(double));
	double worst = 100;
	double p99;

	settings.fifo = kind == QUEUE_FIFO;
	if (kind == QUEUE_CORE_LIMITED)
		settings.limit = LIMIT_FACTOR * settings.rate[0];
	settings.rate[0] *= factor;
	model_run(&settings, ISOLATION_SEEDS, &result);
	for (int i = 1; i < N_TEAMS; i++) {
		worst = MIN(worst, share(result.in_time[i], result.arrived[i]));
		g_array_append_vals(
		    others, result.by_team[i]->data, result.by_team[i]->len);
	}
	p99 = percentile(others, 99);
	table_row(table,
	    json_pack("{s:s, s:o, s:o, s:o, s:o, s:o, s:o}", "queue",
		queue_kind_name(kind), "load %", table_number(100 * load, 0),
		"team 0 rate x", table_number(factor, 0), "others' p99 ms",
		table_number(p99, 1), "change %",
		table_number(baseline > 0 ? 100 * (p99 / baseline - 1) : 0, 1),
		"worst-served other team in time %", table_number(worst, 2),
		"team 0 in time %",
		table_number(share(result.in_time[0], result.arrived[0]), 1)));
	g_array_free(others, TRUE);
	model_result_clear(&result);
	return p99;
}

void
experiment_isolation(json_t *tables, uint64_t seed)
{
	json_t *table = table_add(tables, "One team at 5 times its rate",
	    "Eight teams with equal rates; load is that without the excess. "
	    "In the first two kinds no rate limit is in force, so they show "
	    "the queue's part alone; in the third each team is limited to "
	    "1.25 times its usual rate, with 10 s of burst, before the queue. "
	    "In time: first token within 1.3 s, of the requests past the rate "
	    "limit. Three runs for each row. Goal: change under 10%.");

	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
		for (int k = 0; k <= QUEUE_CORE_LIMITED; k++) {
			double p99 = isolation_row(
			    table, (queue_kind_t)k, loads[i], 1, 0, seed);

			isolation_row(
			    table, (queue_kind_t)k, loads[i], 5, p99, seed);
		}
	}
}

void
experiment_overload(json_t *tables, uint64_t seed)
{
	static const double factors[] = {0.5, 0.9, 1.2, 3};
	json_t *table = table_add(tables, "Goodput under overload",
	    "Requests a second whose first token came within 1.3 s of "
	    "arrival. Goal: 3x at least 95% of 1.2x.");

	for (int fifo = 0; fifo < 2; fifo++) {
		double at_12 = 0;

		for (size_t i = 0; i < G_N_ELEMENTS(factors); i++) {
			model_settings_t settings =
			    settings_new(seed, factors[i] * capacity_get(seed));
			model_result_t result;
			double goodput;

			settings.fifo = fifo;
			model_run(&settings, 1, &result);
			goodput =
			    (double)sum(result.in_time, 0) / result.seconds;
			if (factors[i] == 1.2)
				at_12 = goodput;
			table_row(table,
			    json_pack("{s:s, s:o, s:o, s:o, s:o}", "queue",
				fifo ? "FIFO" : "core/queue", "load x",
				table_number(factors[i], 1), "goodput /s",
				table_number(goodput, 2), "of 1.2x %",
				table_number(
				    at_12 > 0 ? 100 * goodput / at_12 : 0, 1),
				"p99 ms",
				table_number(
				    percentile(result.first_token, 99), 1)));
			model_result_clear(&result);
		}
	}
}

static void
recovery_row(json_t *table, route_policy_t policy, double load, bool warm_up,
    uint64_t seed)
{
	model_settings_t settings =
	    settings_new(seed, load * capacity_get(seed));
	model_result_t result;

	settings.route = (route_settings_t){policy, warm_up};
	settings.lost_at = 30 * US_PER_S;
	settings.back_at = 60 * US_PER_S;
	settings.warm_up = settings.back_at;
	settings.duration = settings.back_at + 30 * US_PER_S;
	model_run(&settings, RECOVERY_SEEDS, &result);
	table_row(table,
	    json_pack("{s:o, s:s, s:s, s:o, s:o, s:o, s:o, s:o}", "load %",
		table_number(100 * load, 0), "policy",
		route_policy_name(policy), "return",
		warm_up ? "warm-up" : "all at once", "p50 ms",
		table_number(percentile(result.first_token, 50), 1), "p99 ms",
		table_number(percentile(result.first_token, 99), 1),
		"p99 on the target ms",
		table_number(percentile(result.on_target_0, 99), 1),
		"requests on the target",
		table_number(
		    (double)result.on_target_0->len / RECOVERY_SEEDS, 1),
		"cost tokens/request",
		table_number(
		    (double)result.computed / (double)result.started, 1)));
	model_result_clear(&result);
}

void
experiment_recovery(json_t *tables, uint64_t seed)
{
	static const route_policy_t policies[] = {
	    ROUTE_LEAST_LOADED, ROUTE_AFFINITY, ROUTE_AFFINITY_BOUNDED};
	json_t *table = table_add(tables, "Return of a cold target",
	    "One of 12 targets is away for 30 s and returns with an empty "
	    "cache. The figures are of the 30 s after that, over 50 runs.");

	for (size_t l = 0; l < 2; l++) {
		for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
			recovery_row(table, policies[i], loads[l], true, seed);
			recovery_row(table, policies[i], loads[l], false, seed);
		}
	}
}
