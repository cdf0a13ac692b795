#include "experiments.h"

#include "model.h"
#include "table.h"

#define N_TEAMS 8

/* Requests a second that the model sustains; calibrated with calibrate(). */
static double capacity;

static model_settings_t
settings_new(uint64_t seed, double rate)
{
	model_settings_t settings = {
	    .seed = seed,
	    .route = {ROUTE_POLICY_DEFAULT, true},
	    .n_instances = 3,
	    .n_targets = 12,
	    .n_teams = N_TEAMS,
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
	model_run(&settings, &result);
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

static void
policy_row(json_t *table, route_policy_t policy, double load, uint64_t seed)
{
	model_settings_t settings =
	    settings_new(seed, load * capacity_get(seed));
	model_result_t result;
	GArray *first;

	settings.route.policy = policy;
	model_run(&settings, &result);
	first = result.first_token;
	table_row(table,
	    json_pack("{s:s, s:o, s:o, s:o, s:o, s:o, s:o, s:o}", "policy",
		route_policy_name(policy), "load %",
		table_number(100 * load, 0), "p50 ms",
		table_number(percentile(first, 50), 1), "p99 ms",
		table_number(percentile(first, 99), 1), "p99.9 ms",
		table_number(percentile(first, 99.9), 1), "cost tokens/request",
		table_number(
		    (double)result.computed / (double)result.started, 1),
		"cache hits %",
		table_number(share(result.hits, result.started), 1),
		"in time %",
		table_number(
		    share(sum(result.in_time, 0), sum(result.arrived, 0)), 2)));
	model_result_clear(&result);
}

void
experiment_policies(json_t *tables, uint64_t seed)
{
	static const double loads[] = {0.5, 0.75, 0.9};
	json_t *table = table_add(tables, "Route policies",
	    "Time to first token, prompt tokens computed for a request and "
	    "share of prefixes found in a cache. Load reports lag 500 ms.");

	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
		for (int p = 0; p < ROUTE_POLICY_COUNT; p++)
			policy_row(table, (route_policy_t)p, loads[i], seed);
	}
}

/* Team 0 is the one that may send 5 times its rate. */
static double
isolation_row(json_t *table, bool fifo, double load, double factor,
    double baseline, uint64_t seed)
{
	model_settings_t settings =
	    settings_new(seed, load * capacity_get(seed));
	model_result_t result;
	GArray *others = g_array_new(FALSE, FALSE, sizeof(double));
	double worst = 100;
	double p99;

	settings.fifo = fifo;
	settings.rate[0] *= factor;
	model_run(&settings, &result);
	for (int i = 1; i < N_TEAMS; i++) {
		worst = MIN(worst, share(result.in_time[i], result.arrived[i]));
		g_array_append_vals(
		    others, result.by_team[i]->data, result.by_team[i]->len);
	}
	p99 = percentile(others, 99);
	table_row(table,
	    json_pack("{s:s, s:o, s:o, s:o, s:o, s:o, s:o}", "queue",
		fifo ? "FIFO" : "core/queue", "load %",
		table_number(100 * load, 0), "team 0 rate x",
		table_number(factor, 0), "others' p99 ms", table_number(p99, 1),
		"change %",
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
	static const double loads[] = {0.5, 0.75, 0.9};
	json_t *table = table_add(tables, "One team at 5 times its rate",
	    "Eight teams with equal rates; load is that without the excess. "
	    "No rate limit is in force, so this is the queue's part alone. In "
	    "time: first token within 1.3 s. Goal: change under 10%.");

	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
		for (int fifo = 0; fifo < 2; fifo++) {
			double p99 =
			    isolation_row(table, fifo, loads[i], 1, 0, seed);

			isolation_row(table, fifo, loads[i], 5, p99, seed);
		}
	}
}

void
experiment_overload(json_t *tables, uint64_t seed)
{
	static const double loads[] = {0.5, 0.9, 1.2, 3};
	json_t *table = table_add(tables, "Goodput under overload",
	    "Requests a second whose first token came within 1.3 s of "
	    "arrival. Goal: 3x at least 95% of 1.2x.");

	for (int fifo = 0; fifo < 2; fifo++) {
		double at_12 = 0;

		for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
			model_settings_t settings =
			    settings_new(seed, loads[i] * capacity_get(seed));
			model_result_t result;
			double goodput;

			settings.fifo = fifo;
			model_run(&settings, &result);
			goodput =
			    (double)sum(result.in_time, 0) / result.seconds;
			if (loads[i] == 1.2)
				at_12 = goodput;
			table_row(table,
			    json_pack("{s:s, s:o, s:o, s:o, s:o}", "queue",
				fifo ? "FIFO" : "core/queue", "load x",
				table_number(loads[i], 1), "goodput /s",
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
recovery_row(json_t *table, route_policy_t policy, bool warm_up, uint64_t seed)
{
	model_settings_t settings =
	    settings_new(seed, 0.75 * capacity_get(seed));
	model_result_t result;

	settings.route = (route_settings_t){policy, warm_up};
	settings.lost_at = 60 * US_PER_S;
	settings.back_at = 120 * US_PER_S;
	settings.warm_up = settings.back_at;
	settings.duration = settings.back_at + 30 * US_PER_S;
	model_run(&settings, &result);
	table_row(table,
	    json_pack("{s:s, s:s, s:o, s:o, s:o, s:o, s:o}", "policy",
		route_policy_name(policy), "return",
		warm_up ? "warm-up" : "all at once", "p50 ms",
		table_number(percentile(result.first_token, 50), 1), "p99 ms",
		table_number(percentile(result.first_token, 99), 1),
		"p99 on the target ms",
		table_number(percentile(result.on_target_0, 99), 1),
		"requests on the target", json_integer(result.on_target_0->len),
		"cost tokens/request",
		table_number(
		    (double)result.computed / (double)result.started, 1)));
	model_result_clear(&result);
}

void
experiment_recovery(json_t *tables, uint64_t seed)
{
	static const route_policy_t policies[] = {
	    ROUTE_LEAST_LOADED, ROUTE_TWO_CHOICES, ROUTE_AFFINITY_BOUNDED};
	json_t *table = table_add(tables, "Return of a cold target",
	    "One of 12 targets is away for 60 s and returns with an empty "
	    "cache, at 75% load. The figures are of the 30 s after that.");

	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
		recovery_row(table, policies[i], true, seed);
		recovery_row(table, policies[i], false, seed);
	}
}
