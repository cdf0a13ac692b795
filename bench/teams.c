#include <math.h>

#include "experiments.h"
#include "random.h"
#include "setup.h"
#include "table.h"

/* How teams affect each other. */

/* The p99 at 75% load varies by a tenth between seeds; over 24 of them the
 * standard error of a change is 2 to 3%. */
#define ISOLATION_SEEDS 24

#define LONG_START_US (60 * US_PER_S)

static const double loads[] = {0.5, 0.75, 0.9};

typedef struct {
	const char *name;
	bool fifo;
	bool limited;
	bool yields;
	time_us_t start_limit;
} kind_t;

static const kind_t kinds[] = {
    {"core/queue", false, false, false, 0},
    {"FIFO", true, false, false, 0},
    {"rate limit, no yielding", false, true, false, 0},
    {"rate limit", false, true, true, 0},
    {"rate limit, no yielding, start within 60 s", false, true, false,
	LONG_START_US},
    {"rate limit, start within 60 s", false, true, true, LONG_START_US},
};

typedef struct {
	double p99[ISOLATION_SEEDS]; /* of the other teams */
	double worst;		     /* other team's share in time */
	double own;		     /* team 0's share in time */
	double own_rate;	     /* team 0's requests in time a second */
} outcome_t;

/* The seed of the next run. */
static uint64_t
seed_next(uint64_t *seed)
{
	uint64_t now = *seed;

	*seed = random_next(seed);
	return now;
}

static double
others_p99(const model_result_t *result)
{
	GArray *others = g_array_new(FALSE, FALSE, sizeof(double));
	double p99;

	for (int i = 1; i < SETUP_TEAMS; i++)
		g_array_append_vals(
		    others, result->by_team[i]->data, result->by_team[i]->len);
	p99 = percentile(others, 99);
	g_array_free(others, TRUE);
	return p99;
}

/* Team 0 sends factor times its rate. */
static model_settings_t
isolation_settings(
    const kind_t *kind, double load, double factor, uint64_t seed)
{
	model_settings_t settings =
	    setup_settings(seed, load * setup_capacity(seed));

	settings.fifo = kind->fifo;
	settings.yields = kind->yields;
	settings.start_limit = kind->start_limit;
	if (kind->limited)
		settings.limit = SETUP_LIMIT_FACTOR * settings.rate[0];
	settings.rate[0] *= factor;
	return settings;
}

static void
isolation_run(const kind_t *kind, double load, double factor, uint64_t seed,
    outcome_t *outcome)
{
	uint64_t arrived[SETUP_TEAMS] = {0};
	uint64_t in_time[SETUP_TEAMS] = {0};
	double seconds = 0;

	for (int s = 0; s < ISOLATION_SEEDS; s++) {
		model_settings_t settings =
		    isolation_settings(kind, load, factor, seed_next(&seed));
		model_result_t result;

		model_run(&settings, 1, &result);
		outcome->p99[s] = others_p99(&result);
		for (int i = 0; i < SETUP_TEAMS; i++) {
			arrived[i] += result.arrived[i];
			in_time[i] += result.in_time[i];
		}
		seconds += result.seconds;
		model_result_clear(&result);
	}
	outcome->worst = 100;
	for (int i = 1; i < SETUP_TEAMS; i++)
		outcome->worst =
		    MIN(outcome->worst, setup_share(in_time[i], arrived[i]));
	outcome->own = setup_share(in_time[0], arrived[0]);
	outcome->own_rate = (double)in_time[0] / seconds;
}

static double
mean(const double *values)
{
	double sum = 0;

	for (int s = 0; s < ISOLATION_SEEDS; s++)
		sum += values[s];
	return sum / ISOLATION_SEEDS;
}

static double
standard_error(const double *values)
{
	double middle = mean(values);
	double squares = 0;

	for (int s = 0; s < ISOLATION_SEEDS; s++)
		squares += (values[s] - middle) * (values[s] - middle);
	return sqrt(squares / (ISOLATION_SEEDS - 1) / ISOLATION_SEEDS);
}

static void
isolation_row(json_t *table, const kind_t *kind, double load, double factor,
    const outcome_t *outcome, const outcome_t *usual)
{
	double change[ISOLATION_SEEDS];

	for (int s = 0; s < ISOLATION_SEEDS; s++)
		change[s] = 100 * (outcome->p99[s] / usual->p99[s] - 1);
	table_row(table,
	    json_pack("{s:s, s:o, s:o, s:o, s:o, s:o, s:o, s:o, s:o}", "queue",
		kind->name, "load %", table_number(100 * load, 0),
		"team 0 rate x", table_number(factor, 0), "others' p99 ms",
		table_number(mean(outcome->p99), 1), "change %",
		table_number(mean(change), 1), "standard error %",
		table_number(standard_error(change), 1),
		"worst-served other team in time %",
		table_number(outcome->worst, 2), "team 0 in time %",
		table_number(outcome->own, 1), "team 0 in time /s",
		table_number(outcome->own_rate, 2)));
}

static void
isolation_table(json_t *tables, uint64_t seed)
{
	json_t *table = table_add(tables, "One team at 5 times its rate",
	    "Eight teams with equal rates; load is that without the excess. "
	    "In the first two kinds no rate limit is in force, so they show "
	    "the queue's part alone; in the others each team is limited to "
	    "1.25 times its usual rate, with 10 s of burst, before the queue. "
	    "No yielding: teams above their rate may take the last free slots "
	    "too. Requests may start within 1 s, or within 60 s, the default "
	    "of the settings. In time: first token within 1.3 s, of the "
	    "requests past the rate limit; a request that the queue refuses "
	    "gives its tokens back, and the next one of its team counts too. "
	    "Means over 24 seeds; change and its standard error are those of "
	    "the p99 of each seed. Goal: change under 10%.");

	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
		for (size_t k = 0; k < G_N_ELEMENTS(kinds); k++) {
			outcome_t usual;
			outcome_t excess;

			isolation_run(&kinds[k], loads[i], 1, seed, &usual);
			isolation_run(&kinds[k], loads[i], 5, seed, &excess);
			isolation_row(
			    table, &kinds[k], loads[i], 1, &usual, &usual);
			isolation_row(
			    table, &kinds[k], loads[i], 5, &excess, &usual);
		}
	}
}

static gint
parts_compare(gconstpointer left, gconstpointer right)
{
	double a = ((const model_parts_t *)left)->all_ms;
	double b = ((const model_parts_t *)right)->all_ms;

	return (a > b) - (a < b);
}

/* Means over the other teams' requests between p98.5 and p99.5. */
static void
parts_row(json_t *table, const char *name, const model_settings_t *settings)
{
	model_result_t result;
	model_parts_t total = {0};
	uint64_t hits = 0;
	guint n = 0;
	guint first;

	model_run(settings, ISOLATION_SEEDS, &result);
	for (guint i = 0; i < result.parts->len; i++) {
		model_parts_t *parts =
		    &g_array_index(result.parts, model_parts_t, i);

		if (parts->team != 0)
			g_array_index(result.parts, model_parts_t, n++) =
			    *parts;
	}
	g_array_set_size(result.parts, n);
	g_array_sort(result.parts, parts_compare);
	first = n / 1000 * 985;
	n = n / 1000 * 10;
	for (guint i = first; i < first + n; i++) {
		const model_parts_t *parts =
		    &g_array_index(result.parts, model_parts_t, i);

		total.slot_ms += parts->slot_ms;
		total.turn_ms += parts->turn_ms;
		total.prompt_ms += parts->prompt_ms;
		hits += parts->hit;
	}
	table_row(table,
	    json_pack("{s:s, s:o, s:o, s:o, s:o, s:o}", "load", name,
		"wait for a slot ms", table_number(total.slot_ms / n, 1),
		"wait on the target ms", table_number(total.turn_ms / n, 1),
		"prompt ms", table_number(total.prompt_ms / n, 1),
		"of these cached %", table_number(setup_share(hits, n), 1),
		"cost tokens/request, all",
		table_number(
		    (double)result.computed / (double)result.started, 1)));
	model_result_clear(&result);
}

static void
parts_table(json_t *tables, uint64_t seed)
{
	static const kind_t plain = {"", false, true, false, 0};
	static const kind_t yielding = {"", false, true, true, 0};
	json_t *table = table_add(tables, "Parts of the other teams' p99",
	    "75% load with the rate limit. Means over the other teams' "
	    "requests between p98.5 and p99.5, all seeds of the table above "
	    "together. In the third row all teams send 1/32 more, which is "
	    "what the limit lets through of the excess.");
	model_settings_t settings = isolation_settings(&plain, 0.75, 1, seed);

	parts_row(table, "usual", &settings);
	settings = isolation_settings(&plain, 0.75, 5, seed);
	parts_row(table, "team 0 at 5 times, no yielding", &settings);
	settings = isolation_settings(&plain, 0.75 * 33 / 32, 1, seed);
	parts_row(table, "all teams 1/32 more", &settings);
	settings = isolation_settings(&yielding, 0.75, 5, seed);
	parts_row(table, "team 0 at 5 times", &settings);
}

void
experiment_isolation(json_t *tables, uint64_t seed)
{
	isolation_table(tables, seed);
	parts_table(tables, seed);
}

static void
priority_row(json_t *table, double load, int priority, uint64_t seed)
{
	model_settings_t settings =
	    setup_settings(seed, load * setup_capacity(seed));
	model_result_t result;

	for (int i = 0; i < SETUP_TEAMS; i++)
		settings.priority[i] = i == 0 ? priority : 2;
	model_run(&settings, ISOLATION_SEEDS, &result);
	table_row(table,
	    json_pack("{s:o, s:i, s:o, s:o, s:o, s:o}", "load %",
		table_number(100 * load, 0), "priority of team 0", priority,
		"team 0 p99 ms",
		table_number(percentile(result.by_team[0], 99), 1),
		"team 0 in time %",
		table_number(
		    setup_share(result.in_time[0], result.arrived[0]), 2),
		"others' p99 ms", table_number(others_p99(&result), 1),
		"others in time %",
		table_number(setup_share(setup_sum(result.in_time, 1),
				 setup_sum(result.arrived, 1)),
		    2)));
	model_result_clear(&result);
}

void
experiment_priorities(json_t *tables, uint64_t seed)
{
	json_t *table = table_add(tables, "Priority classes",
	    "Eight teams with equal rates and without a rate limit; seven "
	    "have priority 2. 24 seeds together.");

	priority_row(table, 0.9, 2, seed);
	priority_row(table, 0.9, 0, seed);
	priority_row(table, 1.2, 2, seed);
	priority_row(table, 1.2, 0, seed);
}
