#include "experiments.h"
#include "setup.h"
#include "table.h"

/* Two regions with unequal load. */

#define REGION_SEEDS 8

/* Loads are parts of a region's capacity. */
static void
spill_row(json_t *table, double load_0, double load_1, time_us_t start_limit,
    bool spill, uint64_t seed)
{
	double rate = (load_0 + load_1) / 2 * setup_capacity(seed);
	model_settings_t settings = setup_settings(seed, rate);
	model_result_t result;
	uint64_t arrived;

	settings.n_instances = 4;
	settings.n_regions = 2;
	settings.in_region = load_0 / (load_0 + load_1);
	settings.spill = spill;
	settings.start_limit = start_limit;
	model_run(&settings, REGION_SEEDS, &result);
	arrived = setup_sum(result.arrived, 0);
	table_row(table,
	    json_pack("{s:o, s:o, s:o, s:s, s:o, s:o, s:o, s:o}",
		"region 0 load %", table_number(100 * load_0, 0),
		"region 1 load %", table_number(100 * load_1, 0),
		"start within s",
		table_number((double)start_limit / US_PER_S, 0), "spill",
		spill ? "core/spill" : "never", "p50 ms",
		table_number(percentile(result.first_token, 50), 1), "p99 ms",
		table_number(percentile(result.first_token, 99), 1),
		"sent to the other region %",
		table_number(setup_share(result.forwarded, arrived), 2),
		"in time %",
		table_number(
		    setup_share(setup_sum(result.in_time, 0), arrived), 2)));
	model_result_clear(&result);
}

void
experiment_spill(json_t *tables, uint64_t seed)
{
	static const double loads[][2] = {
	    {0.9, 0.9}, {0.95, 0.5}, {1.1, 0.5}, {1.5, 0.3}};
	json_t *table = table_add(tables, "Spill to another region",
	    "Two regions of two instances and six targets, 80 ms apart (one "
	    "way). A request that finds no free slot where it arrives waits, "
	    "or goes to the other region by core/spill. Times are those at "
	    "the caller. Heartbeats come every 5 s. 8 seeds together.");

	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
		for (int s = 0; s < 2; s++) {
			time_us_t limit = (s == 0 ? 1 : 60) * US_PER_S;

			spill_row(table, loads[i][0], loads[i][1], limit, false,
			    seed);
			spill_row(
			    table, loads[i][0], loads[i][1], limit, true, seed);
		}
	}
}
