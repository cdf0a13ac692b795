#include "core/part.h"

#include "core/membership.h"

struct parts {
	char *zone;
	plans_t *plans;
	allowances_t *allowances;
	GHashTable *by_plan; /* plan name -> plan_t */
	GHashTable *regular; /* plan name -> share of teams without a home */
	GHashTable *by_home; /* home region of a team -> share */
	GHashTable *lowered; /* team name -> lowest share, if below newest */
	GHashTable *raised;  /* team name -> time of its last rise, allocated */
	bool agreed;	     /* some pair was agreed since the last void */
	bool pair_agreed;    /* the pair in force is agreed */
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
zone_part(
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
plan_part(const allowances_t *allowances, const plan_t *plan, const char *zone)
{
	GPtrArray *regions = g_ptr_array_new();
	share_t part;

	for (size_t i = 0; i < plan->n_use; i++) {
		for (char **r = plan->use[i].regions; *r != NULL; r++)
			g_ptr_array_add(regions, *r);
	}
	g_ptr_array_add(regions, NULL);
	part = zone_part(allowances, (char **)regions->pdata, zone);
	g_ptr_array_free(regions, TRUE);
	return part;
}

parts_t *
parts_create(const char *zone)
{
	parts_t *parts = g_new0(parts_t, 1);

	parts->zone = g_strdup(zone);
	parts->by_plan = g_hash_table_new(g_str_hash, g_str_equal);
	parts->regular = g_hash_table_new(g_str_hash, g_str_equal);
	parts->by_home = g_hash_table_new(g_str_hash, g_str_equal);
	parts->lowered =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	parts->raised =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return parts;
}

void
parts_destroy(parts_t *parts)
{
	g_hash_table_destroy(parts->by_plan);
	g_hash_table_destroy(parts->regular);
	g_hash_table_destroy(parts->by_home);
	g_hash_table_destroy(parts->raised);
	g_hash_table_destroy(parts->lowered);
	plans_unref(parts->plans);
	allowances_unref(parts->allowances);
	g_free(parts->zone);
	g_free(parts);
}

/* Fills the lookup tables; their keys are owned by the allowances list. */
static void
parts_index(parts_t *parts)
{
	const allowances_t *a = parts->allowances;

	g_hash_table_remove_all(parts->by_plan);
	g_hash_table_remove_all(parts->by_home);
	g_hash_table_remove_all(parts->regular);
	for (size_t i = 0; i < a->n_plans; i++) {
		g_hash_table_insert(
		    parts->by_plan, a->plans[i].name, &a->plans[i]);
		g_hash_table_insert(parts->regular, a->plans[i].name,
		    GUINT_TO_POINTER(plan_part(a, &a->plans[i], parts->zone)));
	}
	for (size_t i = 0; i < a->n_zones; i++) {
		char *home[] = {a->zones[i].region, NULL};

		if (g_hash_table_contains(parts->by_home, home[0]))
			continue;
		g_hash_table_insert(parts->by_home, home[0],
		    GUINT_TO_POINTER(zone_part(a, home, parts->zone)));
	}
}

static share_t
parts_of_team(const parts_t *parts, const team_t *team)
{
	GHashTable *table = parts->regular;
	const char *key = team->plan;

	if (team->home != NULL) {
		table = parts->by_home;
		key = team->home;
	}
	return GPOINTER_TO_UINT(g_hash_table_lookup(table, key));
}

share_t
parts_newest(const parts_t *parts, const char *team)
{
	const team_t *found;

	if (parts->plans == NULL)
		return 0;
	found = plans_find_team(parts->plans, team);
	return found == NULL ? 0 : parts_of_team(parts, found);
}

share_t
parts_lowest(const parts_t *parts, const char *team)
{
	gpointer part;

	if (!parts->agreed)
		return 0;
	if (g_hash_table_lookup_extended(parts->lowered, team, NULL, &part))
		return GPOINTER_TO_UINT(part);
	return parts_newest(parts, team);
}

const plan_t *
parts_plan(const parts_t *parts, const char *team)
{
	const team_t *found;

	if (parts->plans == NULL)
		return NULL;
	found = plans_find_team(parts->plans, team);
	return found == NULL ? NULL
			     : g_hash_table_lookup(parts->by_plan, found->plan);
}

time_us_t
parts_raised_at(const parts_t *parts, const char *team)
{
	const time_us_t *at = g_hash_table_lookup(parts->raised, team);

	return at == NULL ? 0 : *at;
}

static void
raised_set(parts_t *parts, const char *team, time_us_t now)
{
	g_hash_table_insert(
	    parts->raised, g_strdup(team), g_memdup2(&now, sizeof(now)));
}

/* State of a team under the pair that is being replaced. */
typedef struct {
	share_t lowest;
	int64_t burst;
} before_t;

/*
 * Returns whether the new pair directly follows the agreed one: one list has
 * the next version and the other is unchanged, so that there is no pair between
 * them. A team that the agreed pair doesn't list then has no share at any
 * instance under an older pair.
 */
static bool
pair_is_next(
    const parts_t *parts, const plans_t *plans, const allowances_t *allowances)
{
	uint64_t steps;

	if (!parts->agreed || !parts->pair_agreed ||
	    plans_parts(plans) != plans_parts(parts->plans))
		return false;
	steps = plans->head.version - parts->plans->head.version +
		allowances->head.version - parts->allowances->head.version;
	return steps == 1;
}

static before_t *
parts_before(
    const parts_t *parts, const plans_t *plans, const allowances_t *allowances)
{
	bool next = pair_is_next(parts, plans, allowances);
	before_t *before = g_new0(before_t, plans->n_teams + 1);

	for (size_t i = 0; i < plans->n_teams; i++) {
		const char *name = plans->teams[i].name;
		const plan_t *plan = parts_plan(parts, name);

		before[i].lowest = parts_lowest(parts, name);
		if (next && plans_find_team(parts->plans, name) == NULL)
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
parts_compare(parts_t *parts, const before_t *before, time_us_t now)
{
	for (size_t i = 0; i < parts->plans->n_teams; i++) {
		const team_t *team = &parts->plans->teams[i];
		const plan_t *plan = parts_plan(parts, team->name);

		if (before[i].lowest < parts_of_team(parts, team))
			g_hash_table_insert(parts->lowered,
			    g_strdup(team->name),
			    GUINT_TO_POINTER(before[i].lowest));
		if (plan != NULL && before[i].burst < plan->burst)
			raised_set(parts, team->name, now);
	}
}

void
parts_adopt(
    parts_t *parts, plans_t *plans, allowances_t *allowances, time_us_t now)
{
	before_t *before = parts_before(parts, plans, allowances);

	plans_ref(plans);
	allowances_ref(allowances);
	plans_unref(parts->plans);
	allowances_unref(parts->allowances);
	parts->plans = plans;
	parts->allowances = allowances;
	parts_index(parts);
	parts->pair_agreed = false;
	g_hash_table_remove_all(parts->lowered);
	g_hash_table_foreach_remove(parts->raised, team_is_unlisted, plans);
	if (parts->agreed)
		parts_compare(parts, before, now);
	g_free(before);
}

void
parts_agree(parts_t *parts, time_us_t now)
{
	GHashTableIter iter;
	gpointer team;

	g_hash_table_iter_init(&iter, parts->lowered);
	while (g_hash_table_iter_next(&iter, &team, NULL))
		raised_set(parts, team, now);
	g_hash_table_remove_all(parts->lowered);
	parts->agreed = true;
	parts->pair_agreed = true;
}

bool
parts_are_agreed(const parts_t *parts)
{
	return parts->agreed;
}

void
parts_void(parts_t *parts)
{
	parts->agreed = false;
	parts->pair_agreed = false;
	g_hash_table_remove_all(parts->lowered);
	g_hash_table_remove_all(parts->raised);
}

size_t
parts_n_lowered(const parts_t *parts)
{
	return g_hash_table_size(parts->lowered);
}
