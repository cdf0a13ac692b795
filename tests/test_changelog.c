#include "core/changelog.h"

#include <glib.h>
#include <string.h>

#include "test.h"

/* Collects "key=value@revision" of each visited change; '-': removed. */
static bool
on_visit(void *owner, const change_t *change)
{
	g_string_append_printf(owner, "%s=%s@%d ", change->key,
	    change->value ? change->value : "-", (int)change->revision);
	return true;
}

static void
check_after(const changelog_t *log, int64_t revision, const char *expected)
{
	g_autoptr(GString) seen = g_string_new(NULL);

	changelog_visit_after(log, revision, on_visit, seen);
	ck_assert_str_eq(seen->str, expected);
}

TEST(changes_are_visited_by_revision)
{
	changelog_t *log = changelog_create();
	g_autoptr(GString) keys = g_string_new(NULL);

	/* The pages of a range are ordered by key. */
	changelog_put(log, "a", "1", 7);
	changelog_put(log, "b", "1", 5);
	changelog_begin(log, 8);
	changelog_put(log, "b", "2", 9);
	changelog_put(log, "a", NULL, 10);
	changelog_put(log, "b", "3", 9);
	check_after(log, 0, "b=1@5 a=1@7 b=2@9 a=-@10 ");
	check_after(log, 8, "b=2@9 a=-@10 ");
	check_after(log, 9, "a=-@10 ");
	ck_assert(changelog_has_after(log, 9));
	ck_assert(!changelog_has_after(log, 10));
	ck_assert(changelog_continues(log, 8));
	ck_assert(!changelog_continues(log, 7));
	changelog_visit_keys(log, NULL, on_visit, keys);
	ck_assert_str_eq(keys->str, "b=2@9 ");
	changelog_clear(log);
	check_after(log, 0, "");
	ck_assert_uint_eq(changelog_bytes(log), 0);
	changelog_destroy(log);
}

/*
 * Guards against a log bounded by its number of entries only: 200 values of
 * 1 MB took all the memory of an instance.
 */
TEST(superseded_values_are_bounded_in_bytes)
{
	changelog_t *log = changelog_create();
	g_autofree char *value = g_strnfill(1 << 20, 'x');
	char small[16];

	changelog_begin(log, 1);
	for (int i = 2; i < 300; i++) {
		changelog_put(log, "config", value, i);
		ck_assert_uint_le(changelog_bytes(log),
		    (1 << 20) + CHANGELOG_HISTORY_BYTES + 16);
	}
	/* Of small values all are held, up to the limit of their number. */
	changelog_clear(log);
	for (int i = 0; i < 100 + CHANGELOG_HISTORY_LIMIT; i++) {
		g_snprintf(small, sizeof(small), "%d", i);
		changelog_put(log, "key", small, 1 + i);
	}
	check_after(
	    log, 98 + CHANGELOG_HISTORY_LIMIT, "key=610@611 key=611@612 ");
	ck_assert_uint_le(
	    changelog_bytes(log), (size_t)7 * (CHANGELOG_HISTORY_LIMIT + 1));
	/* A reader that skips states of a key doesn't have to start over. */
	ck_assert(changelog_continues(log, 1));
	changelog_destroy(log);
}

/* Guards against a reader that keeps a key whose removal was forgotten. */
TEST(reader_that_misses_a_removal_starts_over)
{
	changelog_t *log = changelog_create();
	char key[16];

	changelog_begin(log, 1);
	for (int i = 0; i <= CHANGELOG_HISTORY_LIMIT; i++) {
		g_snprintf(key, sizeof(key), "%d", i);
		changelog_put(log, key, "v", 2 + 2 * i);
		changelog_put(log, key, NULL, 3 + 2 * i);
	}
	/* Of 513 values and as many removals, the first 514 are forgotten. */
	ck_assert(!changelog_continues(log, 3));
	ck_assert(!changelog_continues(log, 2 + CHANGELOG_HISTORY_LIMIT));
	ck_assert(changelog_continues(log, 3 + CHANGELOG_HISTORY_LIMIT));
	ck_assert(!changelog_has_after(log, 3 + 2 * CHANGELOG_HISTORY_LIMIT));
	changelog_destroy(log);
}

TEST_MAIN("changelog")
