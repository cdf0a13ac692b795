#include <string.h>

#include "core/refusal.h"
#include "core/snapshot.h"
#include "test.h"

G_DEFINE_AUTOPTR_CLEANUP_FUNC(plans_t, plans_unref)

/* Guards against a refusal reason without a code, status or remedy. */
TEST(every_refusal_is_described)
{
	for (int i = 0; i < REFUSAL_COUNT; i++) {
		const refusal_info_t *info = refusal_info((refusal_t)i);

		ck_assert_msg(info->code != NULL, "reason %d has no code", i);
		ck_assert_ptr_nonnull(info->remedy);
		ck_assert_int_ge(info->status, 200);
	}
}

static plans_t *
plans_build(void)
{
	plans_t *plans = g_new0(plans_t, 1);

	plans->head.refs = 1;
	list_head_set_text(&plans->head, "x", 1);
	plans->n_teams = 2;
	plans->teams = g_new0(team_t, 2);
	plans->teams[0].name = g_strdup("a");
	plans->teams[0].n_keys = 1;
	plans->teams[0].keys = g_new0(team_key_t, 1);
	plans->teams[0].keys[0].hash[5] = 7;
	plans->teams[1].name = g_strdup("b");
	plans_index(plans);
	return plans;
}

/* Guards against a key that resolves to the wrong team, and against leaks. */
TEST(key_finds_its_team)
{
	g_autoptr(plans_t) plans = plans_build();
	uint8_t hash[KEY_HASH_BYTES] = {0};

	ck_assert_ptr_null(plans_find_key(plans, hash));
	hash[5] = 7;
	ck_assert_str_eq(plans_find_key(plans, hash)->team->name, "a");
	ck_assert_ptr_null(plans_find_team(plans, "c"));
	plans_unref(plans_ref(plans));
}

TEST_MAIN("snapshot")
