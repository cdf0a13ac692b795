#include "config/lists.h"
#include "list_head.h"

/* Values that may occur only once in the whole list. */
typedef struct {
	GHashTable *names;
	GHashTable *hashes; /* in lower case */
} plans_seen_t;

/* A list without these keys is part 0 of 1. */
static bool
part_read(
    plans_t *plans, const node_t *part, const node_t *parts, GError **error)
{
	int64_t number = 0;
	int64_t count = 1;

	if ((part == NULL) != (parts == NULL))
		return node_refuse(part ? part : parts, error, CS_ERROR_INVALID,
		    "stands alone; write both part and parts, or none for a "
		    "list in one piece");
	if (parts != NULL &&
	    (!node_integer(parts, 1, PLANS_PART_LIMIT, &count, error) ||
		!node_integer(part, 0, count - 1, &number, error)))
		return false;
	plans->part = (uint32_t)number;
	plans->parts = (uint32_t)count;
	return true;
}

static bool
team_check_part(const plans_t *plans, const team_t *team, const node_t *name,
    GError **error)
{
	uint32_t part = plans_part_of(team->name, plans->parts);

	if (part == plans->part)
		return true;
	return node_refuse(name, error, CS_ERROR_CONFLICT,
	    "team %s belongs to part %u of %u, this is part %u; move the team "
	    "there or run cyclamensailctl split",
	    team->name, part, plans->parts, plans->part);
}

static bool
key_read(team_key_t *key, const node_t *node, plans_seen_t *seen,
    GHashTable *ids, GError **error)
{
	const node_t *id;
	const node_t *sha256;
	const map_field_t fields[] = {
	    {"id", true, &id},
	    {"sha256", true, &sha256},
	};
	g_autofree char *hash = NULL;

	if (!map_read(node, fields, G_N_ELEMENTS(fields), error) ||
	    !node_name(id, &key->id, error) ||
	    !seen_add(ids, id, key->id, error) ||
	    !node_hex(sha256, key->hash, KEY_HASH_BYTES, error))
		return false;
	hash = g_ascii_strdown(sha256->text, -1);
	return seen_add(seen->hashes, sha256, hash, error);
}

static bool
keys_read(team_t *team, const node_t *node, plans_seen_t *seen, GError **error)
{
	g_autoptr(GHashTable) ids = seen_create();

	if (!node_list(node, 0, error))
		return false;
	team->keys = g_new0(team_key_t, node->n_children);
	team->n_keys = node->n_children;
	for (const node_t *item = node->first; item; item = item->next) {
		if (!key_read(&team->keys[item->index], item, seen, ids, error))
			return false;
	}
	return true;
}

static bool
team_read(plans_t *plans, team_t *team, const node_t *node, plans_seen_t *seen,
    GError **error)
{
	const node_t *name;
	const node_t *plan;
	const node_t *home;
	const node_t *keys;
	const map_field_t fields[] = {
	    {"name", true, &name},
	    {"plan", true, &plan},
	    {"home", false, &home},
	    {"keys", true, &keys},
	};

	return map_read(node, fields, G_N_ELEMENTS(fields), error) &&
	       node_name(name, &team->name, error) &&
	       seen_add(seen->names, name, team->name, error) &&
	       team_check_part(plans, team, name, error) &&
	       node_name(plan, &team->plan, error) &&
	       (home == NULL || node_name(home, &team->home, error)) &&
	       keys_read(team, keys, seen, error);
}

static bool
plans_read(plans_t *plans, const node_t *root, const char *text, size_t len,
    GError **error)
{
	const node_t *version;
	const node_t *part;
	const node_t *parts;
	const node_t *teams;
	const map_field_t fields[] = {
	    {"version", true, &version},
	    {"part", false, &part},
	    {"parts", false, &parts},
	    {"teams", true, &teams},
	};
	g_autoptr(GHashTable) names = seen_create();
	g_autoptr(GHashTable) hashes = seen_create();
	plans_seen_t seen = {names, hashes};

	if (!map_read(root, fields, G_N_ELEMENTS(fields), error) ||
	    !list_head_read(&plans->head, version, text, len, error) ||
	    !part_read(plans, part, parts, error) ||
	    !node_list(teams, 0, error))
		return false;
	plans->teams = g_new0(team_t, teams->n_children);
	plans->n_teams = teams->n_children;
	for (const node_t *item = teams->first; item; item = item->next) {
		if (!team_read(
			plans, &plans->teams[item->index], item, &seen, error))
			return false;
	}
	plans_index(plans);
	return true;
}

plans_t *
plans_parse(const char *file, const char *text, size_t len, GError **error)
{
	g_autoptr(yaml_doc_t) doc = yaml_doc_read(file, text, len, error);
	plans_t *plans;

	if (doc == NULL)
		return NULL;
	plans = g_new0(plans_t, 1);
	plans->head.refs = 1;
	if (!plans_read(plans, doc->root, text, len, error)) {
		plans_unref(plans);
		return NULL;
	}
	return plans;
}
