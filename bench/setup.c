#include "setup.h"

model_settings_t
setup_settings(uint64_t seed, double rate)
{
	model_settings_t settings = {
	    .seed = seed,
	    .route = {ROUTE_POLICY_DEFAULT, ROUTE_WARM_UP_DEFAULT},
	    .n_instances = 3,
	    .n_targets = 12,
	    .n_teams = SETUP_TEAMS,
	    .zipf = 1.0,
	    .warm_up = 60 * US_PER_S,
	    .duration = 660 * US_PER_S,
	    .queue_limit = 400,
	};

	for (int i = 0; i < SETUP_TEAMS; i++)
		settings.rate[i] = rate / SETUP_TEAMS;
	return settings;
}

double
setup_capacity(uint64_t seed)
{
	static double capacity;
	model_settings_t settings = setup_settings(seed, 200);
	model_result_t result;

	if (capacity > 0)
		return capacity;
	/* The rate of started requests while more than enough arrive. */
	model_run(&settings, 1, &result);
	capacity = (double)result.started / result.seconds;
	model_result_clear(&result);
	return capacity;
}

uint64_t
setup_sum(const uint64_t *values, int from)
{
	uint64_t total = 0;

	for (int i = from; i < SETUP_TEAMS; i++)
		total += values[i];
	return total;
}

double
setup_share(uint64_t part, uint64_t whole)
{
	return whole == 0 ? 0 : 100.0 * (double)part / (double)whole;
}
