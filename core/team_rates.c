#include "core/team_rates.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Minimum burst of a share, in seconds of its rate. */
#define BURST_MIN_S 0.25

typedef struct {
	uint32_t id;
	double rate;
	double burst;
	double share;	/* of rate and burst, 0..1 */
	double balance; /* may be negative */
	time_us_t refilled_at;
	double arrived_cost; /* cost since the last update */
	double demand;	     /* per second */
} team_state_t;

typedef struct {
	team_demand_t demands[TEAM_DEMAND_LIMIT];
	size_t n;
	time_us_t received_at;
} demand_report_t;

struct team_rates {
	int own_region;
	GArray *teams;	       /* team_state_t, in catalog order */
	GHashTable *instances; /* load_sender_t -> demand_report_t */
	demand_report_t regions[TOPOLOGY_REGION_LIMIT];
	time_us_t updated_at;
	uint32_t n_instances;
};

team_rates_t *
team_rates_create(int own_region)
{
	team_rates_t *rates = g_new0(team_rates_t, 1);

	rates->own_region = own_region;
	rates->teams = g_array_new(FALSE, TRUE, sizeof(team_state_t));
	rates->instances = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	rates->n_instances = 1;
	return rates;
}

void
team_rates_destroy(team_rates_t *rates)
{
	g_array_unref(rates->teams);
	g_hash_table_destroy(rates->instances);
	g_free(rates);
}

uint32_t
team_short_id(const char *name)
{
	return (uint32_t)XXH3_64bits(name, strlen(name));
}

static team_state_t *
team_find(const team_rates_t *rates, uint32_t id)
{
	for (guint i = 0; i < rates->teams->len; i++) {
		team_state_t *team =
		    &g_array_index(rates->teams, team_state_t, i);

		if (team->id == id)
			return team;
	}
	return NULL;
}

static double
team_capacity(const team_state_t *team)
{
	return MAX(team->burst, BURST_MIN_S * team->rate) * team->share;
}

static void
team_refill(team_state_t *team, time_us_t now)
{
	double refill = team->rate * team->share *
			(double)(now - team->refilled_at) / US_PER_S;

	if (now > team->refilled_at)
		team->balance =
		    MIN(team->balance + refill, team_capacity(team));
	team->refilled_at = now;
}

void
team_rates_set_catalog(
    team_rates_t *rates, const catalog_t *catalog, time_us_t now)
{
	GArray *old_teams = rates->teams;
	GArray *teams = g_array_new(FALSE, TRUE, sizeof(team_state_t));

	for (size_t i = 0; i < catalog_n_teams(catalog); i++) {
		const catalog_team_t *entry = catalog_team(catalog, (int)i);
		uint32_t id = team_short_id(entry->name);
		const team_state_t *old = team_find(rates, id);
		team_state_t team = {.id = id,
		    .share = 1.0 / rates->n_instances,
		    .refilled_at = now};
		bool is_known = old != NULL;

		if (is_known)
			team = *old;
		team.rate = entry->rate;
		team.burst = entry->burst;
		if (!is_known)
			team.balance = team_capacity(&team);
		else
			team.balance = MIN(team.balance, team_capacity(&team));
		g_array_append_val(teams, team);
	}
	rates->teams = teams;
	g_array_unref(old_teams);
}

bool
team_rates_charge(team_rates_t *rates, int index, double cost, time_us_t now,
    time_us_t *retry_after)
{
	team_state_t *team;
	double debt;

	if (index < 0 || (guint)index >= rates->teams->len)
		return true;
	team = &g_array_index(rates->teams, team_state_t, index);
	team->arrived_cost += cost;
	if (team->rate <= 0)
		return true;
	team_refill(team, now);
	debt = TEAM_RATE_MAX_DEBT * team->burst / rates->n_instances;
	if (team->balance > -debt) {
		team->balance -= cost;
		return true;
	}
	*retry_after =
	    (time_us_t)((1.0 - debt - team->balance) /
			MAX(team->rate * team->share, 1e-3) * US_PER_S);
	return false;
}

void
team_rates_refund(team_rates_t *rates, int index, double cost)
{
	team_state_t *team;

	if (index < 0 || (guint)index >= rates->teams->len)
		return;
	team = &g_array_index(rates->teams, team_state_t, index);
	team->balance = MIN(team->balance + cost, team_capacity(team));
}

static double
report_find(const demand_report_t *report, uint32_t id, time_us_t now)
{
	if (report->n == 0 ||
	    now - report->received_at > TEAM_REPORT_MAX_AGE_US)
		return 0;
	for (size_t i = 0; i < report->n; i++) {
		if (report->demands[i].team == id)
			return report->demands[i].per_s;
	}
	return 0;
}

/*
 * Demand for a team that instances, or instances and other zones of the region,
 * reported.
 */
static double
reported_demand(
    const team_rates_t *rates, uint32_t id, bool zones, time_us_t now)
{
	GHashTableIter iter;
	gpointer sender;
	gpointer report;
	double sum = 0;

	g_hash_table_iter_init(&iter, rates->instances);
	while (g_hash_table_iter_next(&iter, &sender, &report)) {
		if (zones || !load_sender_is_zone(GPOINTER_TO_UINT(sender)))
			sum += report_find(report, id, now);
	}
	return sum;
}

static double
others_demand(const team_rates_t *rates, uint32_t id, time_us_t now)
{
	double sum = reported_demand(rates, id, true, now);

	for (int region = 0; region < TOPOLOGY_REGION_LIMIT; region++) {
		if (region != rates->own_region)
			sum += report_find(&rates->regions[region], id, now);
	}
	return sum;
}

void
team_rates_update(team_rates_t *rates, uint32_t n_instances, time_us_t now)
{
	double elapsed = (double)(now - rates->updated_at) / US_PER_S;
	double decay;

	if (elapsed <= 0)
		return;
	rates->n_instances = MAX(1u, n_instances);
	decay = exp(-elapsed * US_PER_S / TEAM_DEMAND_TAU_US);
	for (guint i = 0; i < rates->teams->len; i++) {
		team_state_t *team =
		    &g_array_index(rates->teams, team_state_t, i);
		double others = others_demand(rates, team->id, now);
		double even_share = 1.0 / rates->n_instances;

		team->demand = decay * team->demand +
			       (1 - decay) * team->arrived_cost / elapsed;
		team->arrived_cost = 0;
		team_refill(team, now);
		team->share = even_share;
		if (team->demand + others >= 1)
			team->share =
			    TEAM_RATE_DEMAND_FRACTION * team->demand /
				(team->demand + others) +
			    (1 - TEAM_RATE_DEMAND_FRACTION) * even_share;
		team->share *= TEAM_RATE_SHARE_SUM;
		team->balance = MIN(team->balance, team_capacity(team));
	}
	rates->updated_at = now;
}

size_t
team_rates_own_demand(
    const team_rates_t *rates, team_demand_t *demands, size_t limit)
{
	size_t n = 0;

	for (guint i = 0; i < rates->teams->len && n < limit; i++) {
		const team_state_t *team =
		    &g_array_index(rates->teams, team_state_t, i);

		if (team->demand >= 1)
			demands[n++] =
			    (team_demand_t){team->id, (uint32_t)team->demand};
	}
	return n;
}

static size_t
demand_sum(const team_rates_t *rates, bool zones, team_demand_t *demands,
    size_t limit, time_us_t now)
{
	size_t n = 0;

	for (guint i = 0; i < rates->teams->len && n < limit; i++) {
		const team_state_t *team =
		    &g_array_index(rates->teams, team_state_t, i);
		double sum =
		    team->demand + reported_demand(rates, team->id, zones, now);

		if (sum >= 1)
			demands[n++] = (team_demand_t){team->id, (uint32_t)sum};
	}
	return n;
}

size_t
team_rates_region_demand(const team_rates_t *rates, team_demand_t *demands,
    size_t limit, time_us_t now)
{
	return demand_sum(rates, true, demands, limit, now);
}

size_t
team_rates_zone_demand(const team_rates_t *rates, team_demand_t *demands,
    size_t limit, time_us_t now)
{
	return demand_sum(rates, false, demands, limit, now);
}

static void
report_set(demand_report_t *report, const team_demand_t *demands, size_t n,
    time_us_t now)
{
	report->n = MIN(n, (size_t)TEAM_DEMAND_LIMIT);
	memcpy(report->demands, demands, report->n * sizeof(*demands));
	report->received_at = now;
}

void
team_rates_report_instance(team_rates_t *rates, load_sender_t sender,
    const team_demand_t *demands, size_t n, time_us_t now)
{
	demand_report_t *report =
	    g_hash_table_lookup(rates->instances, GUINT_TO_POINTER(sender));

	if (report == NULL) {
		report = g_new0(demand_report_t, 1);
		g_hash_table_insert(
		    rates->instances, GUINT_TO_POINTER(sender), report);
	}
	report_set(report, demands, n, now);
}

void
team_rates_report_region(team_rates_t *rates, int region,
    const team_demand_t *demands, size_t n, time_us_t now)
{
	if (region >= 0 && region < TOPOLOGY_REGION_LIMIT)
		report_set(&rates->regions[region], demands, n, now);
}
