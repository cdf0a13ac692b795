#include "config/diff.h"

#include <string.h>

#include "list_head.h"

static void
keys_append(GString *lines, const team_t *team)
{
	if (team->n_keys == 0)
		g_string_append(lines, " none");
	for (size_t i = 0; i < team->n_keys; i++)
		g_string_append_printf(lines, " %s", team->keys[i].id);
}

static void
team_append_added(GString *lines, const team_t *team)
{
	g_string_append_printf(
	    lines, "team %s: added with plan %s, ", team->name, team->plan);
	if (team->home != NULL)
		g_string_append_printf(lines, "home %s, keys", team->home);
	else
		g_string_append(lines, "no home, keys");
	keys_append(lines, team);
	g_string_append_c(lines, '\n');
}

static void
team_append_removed(GString *lines, const team_t *team)
{
	g_string_append_printf(lines, "team %s: removed with keys", team->name);
	keys_append(lines, team);
	g_string_append_c(lines, '\n');
}

static void
team_diff_home(GString *lines, const team_t *before, const team_t *after)
{
	if (g_strcmp0(before->home, after->home) == 0)
		return;
	g_string_append_printf(lines, "team %s: home %s -> %s", after->name,
	    before->home ? before->home : "none",
	    after->home ? after->home : "none");
	if (after->home == NULL)
		g_string_append_printf(
		    lines, ", its data may leave region %s", before->home);
	g_string_append_c(lines, '\n');
}

/* Reports the keys of team that it does not have in the other list. */
static void
team_diff_keys(GString *lines, const team_t *team, const plans_t *others,
    const char *what, const char *preposition)
{
	for (size_t i = 0; i < team->n_keys; i++) {
		const team_key_t *key = &team->keys[i];
		const key_owner_t *owner = plans_find_key(others, key->hash);

		if (owner != NULL && strcmp(owner->team->name, team->name) == 0)
			continue;
		g_string_append_printf(
		    lines, "team %s: key %s %s", team->name, key->id, what);
		if (owner != NULL)
			g_string_append_printf(lines, ", moved %s team %s",
			    preposition, owner->team->name);
		g_string_append_c(lines, '\n');
	}
}

static void
team_diff_key_ids(
    GString *lines, const team_t *after, const plans_t *before_list)
{
	for (size_t i = 0; i < after->n_keys; i++) {
		const team_key_t *key = &after->keys[i];
		const key_owner_t *owner =
		    plans_find_key(before_list, key->hash);

		if (owner != NULL &&
		    strcmp(owner->team->name, after->name) == 0 &&
		    strcmp(owner->key->id, key->id) != 0)
			g_string_append_printf(lines,
			    "team %s: key %s renamed to %s\n", after->name,
			    owner->key->id, key->id);
	}
}

bool
diff_plans(
    const plans_t *before, const plans_t *after, GString *lines, GError **error)
{
	bool changed;

	if (!plans_check_rise(before, after, &changed, error))
		return false;
	if (!changed)
		return true;
	if (plans_parts(before) != plans_parts(after))
		g_string_append_printf(lines, "plans: parts %u -> %u\n",
		    plans_parts(before), plans_parts(after));
	g_string_append_printf(lines,
	    "plans: version %" G_GUINT64_FORMAT " -> %" G_GUINT64_FORMAT "\n",
	    before->head.version, after->head.version);
	for (size_t i = 0; i < before->n_teams; i++) {
		const team_t *team = &before->teams[i];

		if (plans_find_team(after, team->name) == NULL)
			team_append_removed(lines, team);
	}
	for (size_t i = 0; i < after->n_teams; i++) {
		const team_t *team = &after->teams[i];
		const team_t *old = plans_find_team(before, team->name);

		if (old == NULL) {
			team_append_added(lines, team);
			continue;
		}
		if (strcmp(old->plan, team->plan) != 0)
			g_string_append_printf(lines,
			    "team %s: plan %s -> %s\n", team->name, old->plan,
			    team->plan);
		team_diff_home(lines, old, team);
		team_diff_keys(lines, old, after, "withdrawn", "to");
		team_diff_keys(lines, team, before, "granted", "from");
		team_diff_key_ids(lines, team, before);
	}
	return true;
}
