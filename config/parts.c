#include <string.h>

#include "config/diff.h"
#include "config/lists.h"
#include "list_head.h"

char *
plans_name(const plans_t *plans)
{
	if (plans_parts(plans) == 1)
		return g_strdup("plans");
	return g_strdup_printf("plans-%u-of-%u", plans->part, plans->parts);
}

/* Where a key was seen. */
typedef struct {
	const char *file;
	const team_t *team;
} place_t;

static bool
keys_check(
    const plans_t *part, const char *file, GHashTable *seen, GError **error)
{
	for (size_t i = 0; i < part->n_teams; i++) {
		const team_t *team = &part->teams[i];

		for (size_t k = 0; k < team->n_keys; k++) {
			const place_t *other =
			    g_hash_table_lookup(seen, team->keys[k].hash);
			place_t *place;

			if (other != NULL)
				return list_head_refuse(&part->head, file,
				    "teams", i, "keys", error,
				    "key %s is also a key of team %s in %s; "
				    "remove it from one of them",
				    team->keys[k].id, other->team->name,
				    other->file);
			place = g_new(place_t, 1);
			place->file = file;
			place->team = team;
			g_hash_table_insert(seen, team->keys[k].hash, place);
		}
	}
	return true;
}

static guint
hash_bucket(gconstpointer hash)
{
	guint bucket;

	/* SHA-256 values are well spread. */
	memcpy(&bucket, hash, sizeof(bucket));
	return bucket;
}

static gboolean
hash_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, KEY_HASH_BYTES) == 0;
}

bool
lists_check_parts(
    plans_t *const *parts, const char *const *files, size_t n, GError **error)
{
	g_autoptr(GHashTable) seen =
	    g_hash_table_new_full(hash_bucket, hash_equal, NULL, g_free);

	if (n > 1 && plans_parts(parts[1]) == 1 && plans_parts(parts[0]) == 1) {
		g_set_error(error, CS_ERROR, CS_ERROR_CONFLICT,
		    "%s:0: file: is a second plans list; check one pair at a "
		    "time",
		    files[1]);
		return false;
	}
	for (size_t i = 0; i < n; i++) {
		if (plans_parts(parts[i]) != plans_parts(parts[0]))
			return list_head_refuse(&parts[i]->head, files[i], NULL,
			    0, "parts", error,
			    "%s is divided into %u; give parts of one division",
			    files[0], plans_parts(parts[0]));
		for (size_t k = 0; k < i; k++) {
			if (parts[k]->part == parts[i]->part)
				return list_head_refuse(&parts[i]->head,
				    files[i], NULL, 0, "part", error,
				    "is a second plans list with part %u after "
				    "%s; give each part once",
				    parts[i]->part, files[k]);
		}
		if (!keys_check(parts[i], files[i], seen, error))
			return false;
	}
	return true;
}

/* The parts of a whole, or the list itself. */
static uint32_t
members_of(const plans_t *const *plans, plans_t *const **members)
{
	if ((*plans)->part_lists == NULL) {
		*members = (plans_t *const *)plans;
		return 1;
	}
	*members = (*plans)->part_lists;
	return (*plans)->parts;
}

bool
plans_check_rise(
    const plans_t *before, const plans_t *after, bool *changed, GError **error)
{
	plans_t *const *old;
	plans_t *const *next;
	uint32_t n_old = members_of(&before, &old);
	uint32_t n = members_of(&after, &next);
	bool same = plans_parts(before) == plans_parts(after) && n_old == n;

	*changed = false;
	for (uint32_t i = 0; i < n; i++) {
		g_autofree char *name = plans_name(next[i]);
		bool one = false;

		if (same && !list_head_check_rise(&old[i]->head, &next[i]->head,
				name, &one, error))
			return false;
		*changed = *changed || one || !same;
		if (same || next[i]->head.version > before->head.version)
			continue;
		return list_head_refuse(&next[i]->head, name, NULL, 0,
		    "version", error,
		    "%" G_GUINT64_FORMAT " is not above the sum of the "
		    "versions of the list that is divided anew; write a number "
		    "above %" G_GUINT64_FORMAT,
		    next[i]->head.version, before->head.version);
	}
	return true;
}
