#include <check.h>
#include <string.h>
#include <unistd.h>

#include "core/targets.h"
#include "platform_world.h"
#include "test.h"

/* Targets that leave while the publisher can't be asked. */

#define CALLS 16

/* Until an instance has read what changed since it last reached the store. */
#define RETURN_US 1300000

/* Until instances know each other, and until one has heard another's news. */
#define SETTLE_US 1500000
#define TOLD_US 400000

#define GRACE_US ((gulong)TARGET_REMOVAL_GRACE_US)

/* Sends requests in turn; each is answered with 200. */
static void
calls_expect(const world_t *world, int instance, const char *name)
{
	for (int i = 0; i < CALLS; i++) {
		g_autofree char *id = g_strdup_printf("%s-%d", name, i);
		world_answer_t answer = world_call(
		    world, instance, "GET", "/read/ok", id, WORLD_KEY, NULL);

		ck_assert_msg(
		    answer.status == 200, "%s: %d", id, answer.status);
		world_answer_clear(&answer);
	}
}

/* How many of these requests a target got. */
static unsigned
calls_at(const world_t *world, int worker, const char *name)
{
	unsigned n = 0;

	for (int i = 0; i < CALLS; i++) {
		g_autofree char *id = g_strdup_printf("%s-%d", name, i);

		n += fake_worker_count(world->workers[worker], id);
	}
	return n;
}

/*
 * Guards against a removal that is read between two outages and is not
 * performed in the second one. The entry of the other target has lapsed; it is
 * in service, and the only one left.
 */
TEST(target_removed_between_two_outages_is_not_used_in_the_second)
{
	world_t world;

	world_create(&world);
	world_start(&world, 0, "a-1", true, true);
	calls_expect(&world, 0, "before");
	ck_assert_uint_gt(calls_at(&world, 0, "before"), 0);
	fake_store_set_mode(world.store, STORE_RESETS);
	g_usleep(600000);
	fake_worker_set_leaving(world.workers[0], true);
	world_publish_worker(&world, 0, NULL);
	world_publish_worker(&world, 1, NULL);
	fake_store_set_mode(world.store, STORE_WORKS);
	g_usleep(RETURN_US);
	fake_store_set_mode(world.store, STORE_RESETS);
	g_usleep(GRACE_US + 500000);
	calls_expect(&world, 0, "during");
	ck_assert_uint_eq(calls_at(&world, 0, "during"), 0);
	ck_assert_uint_eq(calls_at(&world, 1, "during"), CALLS);
	world_destroy(&world);
}

/*
 * Guards against a target that is used after it has said in an answer that it
 * leaves, by the instance that passed the answer on or by another one. The
 * publisher can't be asked, and has it as ready.
 */
TEST(target_that_says_in_an_answer_that_it_leaves_is_not_used)
{
	world_t world;

	world_create(&world);
	world_start(&world, 0, "a-1", true, true);
	world_start(&world, 1, "a-1", true, true);
	g_usleep(SETTLE_US);
	fake_store_set_mode(world.store, STORE_RESETS);
	fake_worker_set_leaving(world.workers[0], true);
	/* Until it was asked once. */
	calls_expect(&world, 0, "first");
	ck_assert_uint_eq(calls_at(&world, 0, "first"), 1);
	g_usleep(TOLD_US);
	calls_expect(&world, 0, "same");
	calls_expect(&world, 1, "other");
	ck_assert_uint_eq(calls_at(&world, 0, "same"), 0);
	ck_assert_uint_eq(calls_at(&world, 0, "other"), 0);
	world_destroy(&world);
}

TEST_MAIN("process_leaving")
