#include "core/keyspace.h"

#include <glib.h>

#include "test.h"

#define TARGET_HOLD_US (6 * US_PER_S)

/* What is in force, by the keyspace's callbacks. */
typedef struct {
	keyspace_t *keys;
	GHashTable *in_force; /* key -> value */
} world_t;

static void
on_apply(void *owner, const char *key, const char *value)
{
	world_t *world = owner;

	if (value == NULL)
		g_hash_table_remove(world->in_force, key);
	else
		g_hash_table_insert(
		    world->in_force, g_strdup(key), g_strdup(value));
}

static void
world_create(world_t *world)
{
	world->keys = keyspace_create(TARGET_HOLD_US);
	world->in_force =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	keyspace_begin_era(world->keys, 1, 0);
}

static void
world_destroy(world_t *world)
{
	keyspace_destroy(world->keys);
	g_hash_table_destroy(world->in_force);
}

static keyspace_verdict_t
put(world_t *world, const char *key, const char *value, int64_t revision)
{
	keyspace_verdict_t verdict =
	    keyspace_put(world->keys, key, value, revision);

	if (verdict == KEYSPACE_APPLY)
		on_apply(world, key, value);
	return verdict;
}

static void
drop(world_t *world, const char *key, int64_t revision)
{
	if (keyspace_remove(world->keys, key, revision))
		on_apply(world, key, NULL);
}

static const char *
value_of(const world_t *world, const char *key)
{
	const char *value = g_hash_table_lookup(world->in_force, key);

	return value ? value : "none";
}

static void
end_range(world_t *world, int64_t revision)
{
	keyspace_end_range(world->keys, revision, on_apply, world);
}

static void
expire(world_t *world, time_us_t now)
{
	keyspace_expire(world->keys, now, on_apply, world);
}

TEST(older_items_and_ranges_of_an_era_replace_no_newer_ones)
{
	world_t world;

	world_create(&world);
	put(&world, "a", "2", 12);
	ck_assert_int_eq(put(&world, "a", "1", 11), KEYSPACE_IGNORE);
	keyspace_begin_range(world.keys);
	end_range(&world, 11);
	ck_assert_str_eq(value_of(&world, "a"), "2");
	keyspace_begin_range(world.keys);
	end_range(&world, 13);
	ck_assert_str_eq(value_of(&world, "a"), "none");
	world_destroy(&world);
}

/*
 * The copy lacks what was written in the lost seconds. It stays in force until
 * it has been written again, or hasn't been for the hold.
 */
TEST(what_the_copy_lacks_stays_until_it_is_written_again)
{
	world_t world;

	world_create(&world);
	put(&world, "again", "1", 20);
	put(&world, "gone", "1", 21);
	keyspace_begin_era(world.keys, 2, US_PER_S);
	keyspace_begin_range(world.keys);
	end_range(&world, 10);
	expire(&world, US_PER_S + KEYSPACE_MISSING_HOLD_US - 1);
	ck_assert_str_eq(value_of(&world, "again"), "1");
	ck_assert_str_eq(value_of(&world, "gone"), "1");
	/* With a lower revision than before. */
	ck_assert_int_eq(put(&world, "again", "2", 11), KEYSPACE_APPLY);
	expire(&world, US_PER_S + KEYSPACE_MISSING_HOLD_US);
	ck_assert_str_eq(value_of(&world, "again"), "2");
	ck_assert_str_eq(value_of(&world, "gone"), "none");
	world_destroy(&world);
}

/*
 * What was removed in the lost seconds doesn't come back: a target that left
 * would be used again, a zone be evacuated again.
 */
TEST(what_was_removed_in_the_lost_seconds_does_not_come_back)
{
	world_t world;

	world_create(&world);
	put(&world, "left", "ready", 5);
	put(&world, "back", "ready", 6);
	drop(&world, "left", 15);
	drop(&world, "back", 16);
	keyspace_begin_era(world.keys, 2, US_PER_S);
	keyspace_begin_range(world.keys);
	ck_assert_int_eq(put(&world, "left", "ready", 5), KEYSPACE_HOLD);
	ck_assert_int_eq(put(&world, "back", "ready", 6), KEYSPACE_HOLD);
	end_range(&world, 10);
	ck_assert_str_eq(value_of(&world, "left"), "none");
	/* One writes again that it is there, the other that it isn't. */
	ck_assert_int_eq(put(&world, "back", "ready", 11), KEYSPACE_APPLY);
	drop(&world, "left", 12);
	expire(&world, US_PER_S + 2 * TARGET_HOLD_US);
	ck_assert_str_eq(value_of(&world, "back"), "ready");
	ck_assert_str_eq(value_of(&world, "left"), "none");
	world_destroy(&world);
}

/* A target that nobody writes again, and that the store keeps, is alive. */
TEST(item_of_the_copy_that_stays_is_believed_after_the_hold)
{
	world_t world;

	world_create(&world);
	put(&world, "a", "ready", 5);
	put(&world, "a", "draining", 15);
	keyspace_begin_era(world.keys, 2, US_PER_S);
	keyspace_begin_range(world.keys);
	ck_assert_int_eq(put(&world, "a", "ready", 5), KEYSPACE_HOLD);
	end_range(&world, 10);
	expire(&world, US_PER_S + TARGET_HOLD_US - 1);
	ck_assert_str_eq(value_of(&world, "a"), "draining");
	/* A second range meanwhile changes nothing. */
	keyspace_begin_range(world.keys);
	ck_assert_int_eq(put(&world, "a", "ready", 5), KEYSPACE_HOLD);
	end_range(&world, 11);
	expire(&world, US_PER_S + TARGET_HOLD_US);
	ck_assert_str_eq(value_of(&world, "a"), "ready");
	/* From then on it is of the new era. */
	ck_assert_int_eq(put(&world, "a", "draining", 12), KEYSPACE_APPLY);
	world_destroy(&world);
}

TEST(two_restores_in_a_row)
{
	world_t world;

	world_create(&world);
	put(&world, "a", "1", 5);
	put(&world, "a", "2", 15);
	put(&world, "b", "1", 16);
	keyspace_begin_era(world.keys, 2, US_PER_S);
	keyspace_begin_range(world.keys);
	put(&world, "a", "1", 5);
	end_range(&world, 10);
	put(&world, "a", "3", 11);
	/* The second copy is from before the first one's return. */
	keyspace_begin_era(world.keys, 3, 2 * US_PER_S);
	keyspace_begin_range(world.keys);
	ck_assert_int_eq(put(&world, "a", "1", 5), KEYSPACE_HOLD);
	end_range(&world, 9);
	ck_assert_str_eq(value_of(&world, "a"), "3");
	ck_assert_str_eq(value_of(&world, "b"), "1");
	ck_assert_int_eq(put(&world, "a", "3", 10), KEYSPACE_APPLY);
	expire(&world, 2 * US_PER_S + KEYSPACE_MISSING_HOLD_US);
	ck_assert_str_eq(value_of(&world, "b"), "none");
	ck_assert_str_eq(value_of(&world, "a"), "3");
	world_destroy(&world);
}

/* Held items of a copy that the next one no longer has aren't applied. */
TEST(held_item_that_is_gone_from_the_store_is_dropped)
{
	world_t world;

	world_create(&world);
	put(&world, "a", "1", 5);
	drop(&world, "a", 15);
	keyspace_begin_era(world.keys, 2, US_PER_S);
	keyspace_begin_range(world.keys);
	ck_assert_int_eq(put(&world, "a", "1", 5), KEYSPACE_HOLD);
	end_range(&world, 10);
	keyspace_begin_range(world.keys);
	end_range(&world, 11);
	expire(&world, US_PER_S + 2 * TARGET_HOLD_US);
	ck_assert_str_eq(value_of(&world, "a"), "none");
	world_destroy(&world);
}

/*
 * Guards against a target that is used again after it has left: a source that
 * lags still has its entry.
 */
TEST(item_that_ended_in_this_era_does_not_come_back)
{
	world_t world;

	world_create(&world);
	put(&world, "a", "1", 5);
	put(&world, "b", "1", 6);
	drop(&world, "a", 7);
	keyspace_begin_range(world.keys);
	keyspace_end_range(world.keys, 8, on_apply, &world);
	ck_assert_uint_eq(g_hash_table_size(world.in_force), 0);
	ck_assert_int_eq(put(&world, "a", "1", 5), KEYSPACE_IGNORE);
	ck_assert_int_eq(put(&world, "b", "1", 6), KEYSPACE_IGNORE);
	ck_assert_uint_eq(g_hash_table_size(world.in_force), 0);
	/* Written again, or in another era. */
	ck_assert_int_eq(put(&world, "a", "1", 9), KEYSPACE_APPLY);
	keyspace_begin_era(world.keys, 2, 0);
	ck_assert_int_eq(put(&world, "b", "1", 6), KEYSPACE_HOLD);
	world_destroy(&world);
}

TEST_MAIN("keyspace")
