#include "core/keyspace.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

typedef enum { HELD_NOTHING, HELD_ITEM, HELD_REMOVAL } held_kind_t;

typedef struct {
	bool exists;	  /* false: only an item of the copy is held */
	int64_t era;	  /* in which it was read or confirmed */
	int64_t revision; /* in that era */
	uint64_t digest;
	uint32_t range; /* number of the last range that had it */
	/* Of the copy, not in force. */
	held_kind_t held;
	char *held_value; /* HELD_ITEM */
	int64_t held_revision;
	time_us_t held_until;
} known_t;

struct keyspace {
	time_us_t restored_hold;
	int64_t era;
	time_us_t era_began_at;
	uint32_t range;
	size_t n_held;
	GHashTable *keys; /* key -> known_t */
	/* Digests of replaced and removed items -> era of their end, and the
	 * order in which they ended. */
	GHashTable *replaced;
	uint64_t replaced_order[KEYSPACE_REPLACED_LIMIT];
	size_t n_replaced;
};

/* Identifies an item: an item of the copy has the revision that it had. */
static uint64_t
item_digest(const char *key, const char *value, int64_t revision)
{
	uint64_t hash = XXH3_64bits(key, strlen(key));

	hash = XXH3_64bits_withSeed(value, strlen(value), hash);
	return XXH3_64bits_withSeed(&revision, sizeof(revision), hash);
}

static void
known_free(gpointer data)
{
	known_t *known = data;

	g_free(known->held_value);
	g_free(known);
}

keyspace_t *
keyspace_create(time_us_t restored_hold)
{
	keyspace_t *keyspace = g_new0(keyspace_t, 1);

	keyspace->restored_hold = restored_hold;
	keyspace->keys =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, known_free);
	keyspace->replaced =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	return keyspace;
}

void
keyspace_destroy(keyspace_t *keyspace)
{
	g_hash_table_destroy(keyspace->keys);
	g_hash_table_destroy(keyspace->replaced);
	g_free(keyspace);
}

static void
held_clear(keyspace_t *keyspace, known_t *known)
{
	if (known->held == HELD_NOTHING)
		return;
	known->held = HELD_NOTHING;
	g_clear_pointer(&known->held_value, g_free);
	keyspace->n_held--;
}

static void
hold(keyspace_t *keyspace, known_t *known, held_kind_t kind, const char *value,
    int64_t revision, time_us_t until)
{
	held_clear(keyspace, known);
	known->held = kind;
	known->held_value = g_strdup(value);
	known->held_revision = revision;
	known->held_until = until;
	keyspace->n_held++;
}

static void
replaced_add(keyspace_t *keyspace, uint64_t digest)
{
	size_t slot = keyspace->n_replaced % KEYSPACE_REPLACED_LIMIT;

	if (keyspace->n_replaced >= KEYSPACE_REPLACED_LIMIT)
		g_hash_table_remove(
		    keyspace->replaced, &keyspace->replaced_order[slot]);
	keyspace->replaced_order[slot] = digest;
	keyspace->n_replaced++;
	g_hash_table_insert(keyspace->replaced,
	    g_memdup2(&digest, sizeof(digest)),
	    g_memdup2(&keyspace->era, sizeof(keyspace->era)));
}

/* Whether the item was replaced or removed in another era. */
static bool
is_restored(const keyspace_t *keyspace, uint64_t digest)
{
	const int64_t *era = g_hash_table_lookup(keyspace->replaced, &digest);

	return era != NULL && *era != keyspace->era;
}

/*
 * Whether the item was replaced or removed in this era. A source that lags may
 * still have it.
 */
static bool
has_ended(const keyspace_t *keyspace, uint64_t digest)
{
	const int64_t *era = g_hash_table_lookup(keyspace->replaced, &digest);

	return era != NULL && *era == keyspace->era;
}

void
keyspace_begin_era(keyspace_t *keyspace, int64_t era, time_us_t now)
{
	GHashTableIter iter;
	gpointer known;

	keyspace->era = era;
	keyspace->era_began_at = now;
	g_hash_table_iter_init(&iter, keyspace->keys);
	while (g_hash_table_iter_next(&iter, NULL, &known)) {
		held_clear(keyspace, known);
		if (!((known_t *)known)->exists)
			g_hash_table_iter_remove(&iter);
	}
}

void
keyspace_begin_range(keyspace_t *keyspace)
{
	keyspace->range++;
}

static known_t *
known_get(keyspace_t *keyspace, const char *key)
{
	known_t *known = g_hash_table_lookup(keyspace->keys, key);

	if (known == NULL) {
		known = g_new0(known_t, 1);
		g_hash_table_insert(keyspace->keys, g_strdup(key), known);
	}
	return known;
}

/* Takes the item as the key's state of this era. */
static void
known_set(
    keyspace_t *keyspace, known_t *known, uint64_t digest, int64_t revision)
{
	held_clear(keyspace, known);
	if (known->exists && known->digest != digest)
		replaced_add(keyspace, known->digest);
	known->exists = true;
	known->era = keyspace->era;
	known->revision = revision;
	known->digest = digest;
}

keyspace_verdict_t
keyspace_put(
    keyspace_t *keyspace, const char *key, const char *value, int64_t revision)
{
	known_t *known = known_get(keyspace, key);
	uint64_t digest = item_digest(key, value, revision);

	known->range = keyspace->range;
	if (known->exists && known->era == keyspace->era &&
	    revision < known->revision)
		return KEYSPACE_IGNORE;
	if (has_ended(keyspace, digest)) {
		if (!known->exists && known->held == HELD_NOTHING)
			g_hash_table_remove(keyspace->keys, key);
		return KEYSPACE_IGNORE;
	}
	if (!(known->exists && known->digest == digest) &&
	    is_restored(keyspace, digest)) {
		hold(keyspace, known, HELD_ITEM, value, revision,
		    keyspace->era_began_at + keyspace->restored_hold);
		return KEYSPACE_HOLD;
	}
	known_set(keyspace, known, digest, revision);
	return KEYSPACE_APPLY;
}

bool
keyspace_remove(keyspace_t *keyspace, const char *key, int64_t revision)
{
	known_t *known = g_hash_table_lookup(keyspace->keys, key);

	if (known == NULL)
		return true;
	if (known->exists && known->era == keyspace->era &&
	    revision < known->revision)
		return false;
	held_clear(keyspace, known);
	if (known->exists)
		replaced_add(keyspace, known->digest);
	g_hash_table_remove(keyspace->keys, key);
	return true;
}

void
keyspace_end_range(keyspace_t *keyspace, int64_t revision,
    keyspace_apply_t removed, void *owner)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, keyspace->keys);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		known_t *known = value;

		if (known->range == keyspace->range)
			continue;
		if (known->exists && known->era != keyspace->era) {
			if (known->held != HELD_REMOVAL)
				hold(keyspace, known, HELD_REMOVAL, NULL,
				    revision,
				    keyspace->era_began_at +
					KEYSPACE_MISSING_HOLD_US);
			continue;
		}
		/* The range of a source that lags doesn't have it yet. */
		if (known->exists && known->revision > revision)
			continue;
		held_clear(keyspace, known);
		if (known->exists) {
			replaced_add(keyspace, known->digest);
			removed(owner, key, NULL);
		}
		g_hash_table_iter_remove(&iter);
	}
}

void
keyspace_expire(
    keyspace_t *keyspace, time_us_t now, keyspace_apply_t apply, void *owner)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	if (keyspace->n_held == 0)
		return;
	g_hash_table_iter_init(&iter, keyspace->keys);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		known_t *known = value;
		g_autofree char *item = NULL;

		if (known->held == HELD_NOTHING || now < known->held_until)
			continue;
		item = g_steal_pointer(&known->held_value);
		if (known->held == HELD_ITEM) {
			known_set(keyspace, known,
			    item_digest(key, item, known->held_revision),
			    known->held_revision);
			apply(owner, key, item);
			continue;
		}
		held_clear(keyspace, known);
		replaced_add(keyspace, known->digest);
		apply(owner, key, NULL);
		g_hash_table_iter_remove(&iter);
	}
}
