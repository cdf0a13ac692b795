#include "core/zone_share.h"

#include "core/membership.h"

struct zone_shares {
	char *zone;
	plans_t *plans;
	allowances_t *allowances;
	GHashTable *plans_by_name; /* plan name -> plan_t */
	GHashTable *share_by_plan; /* plan name -> share without a home */
	GHashTable *share_by_home; /* home region of a team -> share */
	GHashTable *lowered; /* team name -> lowest share, if below newest */
	GHashTable *raised;  /* team name -> time of its last rise, allocated */
	bool agreed;	  /* some pair was agreed since the last revocation */
	bool pair_agreed; /* the pair in force is agreed */
};

static bool
region_listed(char *const *regions, const char *region)
{
	for (size_t i = 0; regions[i] != NULL; i++) {
		if (g_str_equal(regions[i], region))
			return true;
	}
	return false;
}

share_t
zone_share_of(
    const allowances_t *allowances, char *const *regions, const char *zone)
{
	uint64_t own = 0;
	uint64_t all = 0;

	for (size_t i = 0; i < allowances->n_zones; i++) {
		const zone_t *z = &allowances->zones[i];

		if (!region_listed(regions, z->region))
			continue;
		all += z->weight;
		if (g_str_equal(z->name, zone))
			own = z->weight;
	}
	return all == 0 ? 0 : (share_t)(SHARE_ONE * own / all);
}

static share_t
plan_share(const allowances_t *allowances, const plan_t *plan, const char *zone)
{
	GPtrArray *regions = g_ptr_array_new();
	share_t share;

	for (size_t i = 0; i < plan->n_use; i++) {
		for (char **r = plan->use[i].regions; *r != NULL; r++)
			g_ptr_array_add(regions, *r);
	}
	g_ptr_array_add(regions, NULL);
	share = zone_share_of(allowances, (char **)regions->pdata, zone);
	g_ptr_array_free(regions, TRUE);
	return share;
}

zone_shares_t *
zone_shares_create(const char *zone)
{
	zone_shares_t *shares = g_new0(zone_shares_t, 1);

	shares->zone = g_strdup(zone);
	shares->plans_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	shares->share_by_plan = g_hash_table_new(g_str_hash, g_str_equal);
	shares->share_by_home = g_hash_table_new(g_str_hash, g_str_equal);
	shares->lowered =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	shares->raised =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return shares;
}

void
zone_shares_destroy(zone_shares_t *shares)
{
	g_hash_table_destroy(shares->plans_by_name);
	g_hash_table_destroy(shares->share_by_plan);
	g_hash_table_destroy(shares->share_by_home);
	g_hash_table_destroy(shares->raised);
	g_hash_table_destroy(shares->lowered);
	plans_unref(shares->plans);
	allowances_unref(shares->allowances);
	g_free(shares->zone);
	g_free(shares);
}

/* Fills the lookup tables; their keys are owned by the allowances list. */
static void
tables_fill(zone_shares_t *shares)
{
	const allowances_t *a = shares->allowances;

	g_hash_table_remove_all(shares->plans_by_name);
	g_hash_table_remove_all(shares->share_by_home);
	g_hash_table_remove_all(shares->share_by_plan);
	for (size_t i = 0; i < a->n_plans; i++) {
		g_hash_table_insert(
		    shares->plans_by_name, a->plans[i].name, &a->plans[i]);
		g_hash_table_insert(shares->share_by_plan, a->plans[i].name,
		    GUINT_TO_POINTER(
			plan_share(a, &a->plans[i], shares->zone)));
	}
	for (size_t i = 0; i < a->n_zones; i++) {
		char *home[] = {a->zones[i].region, NULL};

		if (g_hash_table_contains(shares->share_by_home, home[0]))
			continue;
		g_hash_table_insert(shares->share_by_home, home[0],
		    GUINT_TO_POINTER(zone_share_of(a, home, shares->zone)));
	}
}

static share_t
share_of_team(const zone_shares_t *shares, const team_t *team)
{
	GHashTable *table = shares->share_by_plan;
	const char *key = team->plan;

	if (team->home != NULL) {
		table = shares->share_by_home;
		key = team->home;
	}
	return GPOINTER_TO_UINT(g_hash_table_lookup(table, key));
}

share_t
zone_shares_newest(const zone_shares_t *shares, const char *team)
{
	const team_t *found;

	if (shares->plans == NULL)
		return 0;
	found = plans_find_team(shares->plans, team);
	return found == NULL ? 0 : share_of_team(shares, found);
}

share_t
zone_shares_lowest(const zone_shares_t *shares, const char *team)
{
	gpointer share;

	if (!shares->agreed)
		return 0;
	if (g_hash_table_lookup_extended(shares->lowered, team, NULL, &share))
		return GPOINTER_TO_UINT(share);
	return zone_shares_newest(shares, team);
}

const plan_t *
zone_shares_plan(const zone_shares_t *shares, const char *team)
{
	const team_t *found;

	if (shares->plans == NULL)
		return NULL;
	found = plans_find_team(shares->plans, team);
	return found == NULL
		   ? NULL
		   : g_hash_table_lookup(shares->plans_by_name, found->plan);
}

time_us_t
zone_shares_raised_at(const zone_shares_t *shares, const char *team)
{
	const time_us_t *at = g_hash_table_lookup(shares->raised, team);

	return at == NULL ? 0 : *at;
}

static void
raised_set(zone_shares_t *shares, const char *team, time_us_t now)
{
	g_hash_table_insert(
	    shares->raised, g_strdup(team), g_memdup2(&now, sizeof(now)));
}

/* State of a team under the pair that is being replaced. */
typedef struct {
	share_t lowest;
	int64_t burst;
} team_state_t;

/*
 * Returns whether the new pair directly follows the agreed one: one list has
 * the next version and the other is unchanged, so that there is no pair between
 * them. A team that the agreed pair doesn't list then has no share at any
 * instance under an older pair.
 */
static bool
pair_is_next(const zone_shares_t *shares, const plans_t *plans,
    const allowances_t *allowances)
{
	uint64_t steps;

	if (!shares->agreed || !shares->pair_agreed ||
	    plans_parts(plans) != plans_parts(shares->plans))
		return false;
	steps = plans->head.version - shares->plans->head.version +
		allowances->head.version - shares->allowances->head.version;
	return steps == 1;
}

static team_state_t *
states_before(const zone_shares_t *shares, const plans_t *plans,
    const allowances_t *allowances)
{
	bool next = pair_is_next(shares, plans, allowances);
	team_state_t *before = g_new0(team_state_t, plans->n_teams + 1);

	for (size_t i = 0; i < plans->n_teams; i++) {
		const char *name = plans->teams[i].name;
		const plan_t *plan = zone_shares_plan(shares, name);

		before[i].lowest = zone_shares_lowest(shares, name);
		if (next && plans_find_team(shares->plans, name) == NULL)
			before[i].lowest = SHARE_ONE;
		before[i].burst = plan == NULL ? 0 : plan->burst;
	}
	return before;
}

static gboolean
team_is_unlisted(gpointer name, gpointer at, gpointer plans)
{
	return plans_find_team(plans, name) == NULL;
}

static void
states_compare(zone_shares_t *shares, const team_state_t *before, time_us_t now)
{
	for (size_t i = 0; i < shares->plans->n_teams; i++) {
		const team_t *team = &shares->plans->teams[i];
		const plan_t *plan = zone_shares_plan(shares, team->name);

		if (before[i].lowest < share_of_team(shares, team))
			g_hash_table_insert(shares->lowered,
			    g_strdup(team->name),
			    GUINT_TO_POINTER(before[i].lowest));
		if (plan != NULL && before[i].burst < plan->burst)
			raised_set(shares, team->name, now);
	}
}

void
zone_shares_adopt(zone_shares_t *shares, plans_t *plans,
    allowances_t *allowances, time_us_t now)
{
	team_state_t *before = states_before(shares, plans, allowances);

	plans_ref(plans);
	allowances_ref(allowances);
	plans_unref(shares->plans);
	allowances_unref(shares->allowances);
	shares->plans = plans;
	shares->allowances = allowances;
	tables_fill(shares);
	shares->pair_agreed = false;
	g_hash_table_remove_all(shares->lowered);
	g_hash_table_foreach_remove(shares->raised, team_is_unlisted, plans);
	if (shares->agreed)
		states_compare(shares, before, now);
	g_free(before);
}

void
zone_shares_agree(zone_shares_t *shares, time_us_t now)
{
	GHashTableIter iter;
	gpointer team;

	g_hash_table_iter_init(&iter, shares->lowered);
	while (g_hash_table_iter_next(&iter, &team, NULL))
		raised_set(shares, team, now);
	g_hash_table_remove_all(shares->lowered);
	shares->agreed = true;
	shares->pair_agreed = true;
}

bool
zone_shares_are_agreed(const zone_shares_t *shares)
{
	return shares->agreed;
}

void
zone_shares_revoke(zone_shares_t *shares)
{
	shares->agreed = false;
	shares->pair_agreed = false;
	g_hash_table_remove_all(shares->lowered);
	g_hash_table_remove_all(shares->raised);
}

size_t
zone_shares_n_lowered(const zone_shares_t *shares)
{
	return g_hash_table_size(shares->lowered);
}
