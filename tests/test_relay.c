#include <check.h>
#include <glib.h>

#include "core/relay.h"
#include "test.h"

typedef struct {
	unsigned n;
	relay_verdict_t last;
} replies_t;

static void
on_reply(void *owner, relay_watch_t *watch, relay_verdict_t verdict)
{
	replies_t *replies = owner;

	replies->n++;
	replies->last = verdict;
}

/* Guards against readers that get what may be stale, or wait without end. */
TEST(watch_is_answered_by_what_the_copy_has)
{
	memory_pool_t answers = {.limit = 100};
	replies_t replies = {0};
	relay_t *relay = relay_create(&answers, 60, on_reply, &replies);
	relay_watch_t watch = {3, 500};

	ck_assert(!relay_watch(relay, &watch, 0));
	ck_assert_int_eq(replies.last, RELAY_STALE);
	relay_advance(relay, 3);
	ck_assert(relay_watch(relay, &watch, 0));
	answers.claimed = 50;
	changelog_put(relay_log(relay), "key", "value", 4);
	relay_advance(relay, 4);
	relay_expire(relay, 499);
	ck_assert_uint_eq(replies.n, 1);
	relay_expire(relay, 500);
	ck_assert_int_eq(replies.last, RELAY_NO_ROOM);
	ck_assert_int_eq(relay_may_read(relay), RELAY_NO_ROOM);
	answers.claimed = 0;
	ck_assert(!relay_watch(relay, &watch, 0));
	ck_assert_int_eq(replies.last, RELAY_ANSWER);
	ck_assert(!relay_watch(relay, &watch, 1));
	ck_assert_int_eq(replies.last, RELAY_LOST);
	watch.after = 4;
	ck_assert(relay_watch(relay, &watch, 0));
	relay_suspend(relay);
	ck_assert_int_eq(replies.last, RELAY_STALE);
	relay_advance(relay, 4);
	ck_assert(relay_watch(relay, &watch, 0));
	relay_destroy(relay);
	ck_assert_int_eq(replies.last, RELAY_ENDS);
}

TEST_MAIN("relay")
