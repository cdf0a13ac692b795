#include "config/lists.h"
#include "list_head.h"

static bool
plan_allows(const plan_t *plan, const char *region)
{
	for (size_t i = 0; i < plan->n_use; i++) {
		if (g_strv_contains(
			(const char *const *)plan->use[i].regions, region))
			return true;
	}
	return false;
}

static bool
team_check(const plans_t *plans, const char *file, size_t index,
    GHashTable *plan_table, GHashTable *regions, GError **error)
{
	const team_t *team = &plans->teams[index];
	const plan_t *plan = g_hash_table_lookup(plan_table, team->plan);

	if (plan == NULL)
		return list_head_refuse(&plans->head, file, "teams", index,
		    "plan", error,
		    "plan %s of team %s is not in the allowances list; add the "
		    "plan there or write another one",
		    team->plan, team->name);
	if (team->home == NULL)
		return true;
	if (!g_hash_table_contains(regions, team->home))
		return list_head_refuse(&plans->head, file, "teams", index,
		    "home", error,
		    "no zone of the allowances list is in home region %s of "
		    "team %s; add a zone or write another region",
		    team->home, team->name);
	if (!plan_allows(plan, team->home))
		return list_head_refuse(&plans->head, file, "teams", index,
		    "home", error,
		    "plan %s allows no service in home region %s of team %s; "
		    "add the region to a use of the plan or write another "
		    "region",
		    plan->name, team->home, team->name);
	return true;
}

bool
lists_check_pair(
    const plans_t *plans, const allowances_t *allowances, GError **error)
{
	g_autoptr(GHashTable) plan_table =
	    g_hash_table_new(g_str_hash, g_str_equal);
	g_autoptr(GHashTable) regions =
	    g_hash_table_new(g_str_hash, g_str_equal);

	g_autofree char *file = plans_name(plans);

	for (size_t i = 0; i < allowances->n_plans; i++)
		g_hash_table_insert(plan_table, allowances->plans[i].name,
		    &allowances->plans[i]);
	for (size_t i = 0; i < allowances->n_zones; i++)
		g_hash_table_add(regions, allowances->zones[i].region);
	for (size_t i = 0; i < plans->n_teams; i++) {
		if (!team_check(plans, file, i, plan_table, regions, error))
			return false;
	}
	return true;
}
