#include "core/source.h"
#include "platform/store.h"

#include <arpa/inet.h>
#include <glib.h>

#include "fake_store.h"
#include "test.h"

#define LOOPBACK UINT32_C(0x7f000001)

/* One store client beside a store and two relays, which are stand-ins for the
 * store themselves. */
typedef struct {
	struct ev_loop *loop;
	net_t *net;
	topology_t *places;
	fake_store_t *store;
	fake_store_t *relays[2];
	net_address_t addresses[3]; /* store, relays */
	memory_pool_t answers;
	packing_t *packing;
	store_t *client;
	bool evacuated;
	bool unreachable;
	bool listed; /* a target */
	int64_t cold_ms;
} fixture_t;

static const revision_t NOTHING_MISSING;

static bool
on_config_is_loaded(void *owner, const uint8_t *text, size_t len)
{
	return false;
}

static void
on_config(void *owner, catalog_t *catalog, GBytes *text)
{
}

static void
on_config_unreadable(void *owner, const char *error)
{
}

static void
on_target(void *owner, const target_entry_t *entry)
{
	fixture_t *fixture = owner;

	fixture->listed = true;
	fixture->cold_ms = entry->cold_ms;
}

static void
on_target_removed(void *owner, const char *id)
{
	((fixture_t *)owner)->listed = false;
}

static void
on_evacuation(void *owner, const char *zone, bool evacuated)
{
	((fixture_t *)owner)->evacuated = evacuated;
}

static void
on_targets_listed(void *owner, time_us_t requested_at)
{
}

static void
on_reachable(void *owner, bool reachable, const char *cause)
{
	((fixture_t *)owner)->unreachable = !reachable;
}

static void
on_loaded(void *owner)
{
}

static const store_events_t events = {on_config_is_loaded, on_config,
    on_config_unreadable, on_target, on_target_removed, on_evacuation,
    on_targets_listed, on_reachable, on_loaded};

static void
fixture_create(fixture_t *fixture)
{
	uint16_t port;

	*fixture = (fixture_t){.loop = ev_loop_new(0)};
	fixture->net = net_create(fixture->loop);
	fixture->places = topology_create();
	topology_add(fixture->places, "a-1", "a");
	fixture->store = fake_store_create(&port);
	fixture->addresses[0] = (net_address_t){LOOPBACK, port};
	for (size_t i = 0; i < 2; i++) {
		fixture->relays[i] = fake_store_create(&port);
		fixture->addresses[i + 1] = (net_address_t){LOOPBACK, port};
	}
	fixture->packing = packing_create(1 << 20);
	fixture->client =
	    store_create(fixture->net, fixture->addresses[0], fixture->places,
		&events, fixture, 1, &fixture->answers, fixture->packing);
}

static void
fixture_destroy(fixture_t *fixture)
{
	store_destroy(fixture->client);
	packing_destroy(fixture->packing);
	fake_store_destroy(fixture->store);
	for (size_t i = 0; i < 2; i++)
		fake_store_destroy(fixture->relays[i]);
	net_destroy(fixture->net);
	topology_destroy(fixture->places);
	ev_loop_destroy(fixture->loop);
}

/* Runs the loop until the condition holds; returns false after the time. */
static bool
run_until(fixture_t *fixture, const bool *condition, gint64 ms)
{
	gint64 end = g_get_monotonic_time() + ms * 1000;

	while (!*condition && g_get_monotonic_time() < end) {
		ev_run(fixture->loop, EVRUN_NOWAIT);
		g_usleep(1000);
	}
	return *condition;
}

static void
run_for(fixture_t *fixture, gint64 ms)
{
	bool never = false;

	run_until(fixture, &never, ms);
}

/*
 * Guards against an instance that reads nothing for SOURCE_RELAY_PAUSE_US: it
 * left a relay that lagged while the store refused it, and the second relay,
 * which works, was not used either. On a day with many new routes it refused a
 * key with 401 for longer than a configuration may take.
 */
TEST(second_relay_is_used_while_the_first_is_paused)
{
	fixture_t fixture;

	fixture_create(&fixture);
	store_set_relay(fixture.client, &fixture.addresses[1]);
	run_for(&fixture, 200);
	fake_store_set_mode(fixture.store, STORE_REFUSES);
	store_abandon_relay(fixture.client, "test");
	ck_assert(store_relay_is_paused(fixture.client, &fixture.addresses[1]));
	ck_assert(
	    !store_relay_is_paused(fixture.client, &fixture.addresses[2]));
	run_for(&fixture, 200);
	fake_store_put(fixture.relays[1], "op/evacuate/a-1", "{}");
	store_set_relay(fixture.client, &fixture.addresses[2]);
	ck_assert(run_until(&fixture, &fixture.evacuated,
	    SOURCE_RELAY_PAUSE_US / US_PER_MS - 2000));
	fixture_destroy(&fixture);
}

/*
 * Guards against waiting for the end of a watch (over 5 s) at a store that no
 * longer tells this instance of changes while others read newer data. The store
 * counts as unreachable until it answers a new request.
 */
TEST(pending_watch_is_abandoned_when_others_read_newer_data)
{
	fixture_t fixture;

	fixture_create(&fixture);
	run_for(&fixture, 300);
	ck_assert(!fixture.unreachable);
	store_note_behind(fixture.client, NOTHING_MISSING);
	ck_assert(fixture.unreachable);
	fake_store_put(fixture.store, "op/evacuate/a-1", "{}");
	ck_assert(run_until(&fixture, &fixture.evacuated, 2500));
	ck_assert(!fixture.unreachable);
	fixture_destroy(&fixture);
}

static char *
target_value(int cold_ms)
{
	return g_strdup_printf(
	    "{\"service\":\"pen\",\"address\":\"127.0.0.1:80\","
	    "\"zone\":\"a-1\",\"version\":\"v1\",\"slots\":8,"
	    "\"state\":\"ready\",\"cold_remaining_ms\":%d,\"seq\":1,"
	    "\"born\":1}",
	    cold_ms);
}

static void
target_publish(fake_store_t *store, int cold_ms)
{
	g_autofree char *value = target_value(cold_ms);

	fake_store_put(store, "servers/w", value);
}

/*
 * A relay that lags ends neither the cold time of a target nor an evacuation,
 * and removes no target, when all is read from it again.
 */
TEST(older_items_of_a_relay_replace_no_newer_ones)
{
	fixture_t fixture;

	fixture_create(&fixture);
	target_publish(fixture.relays[0], 0);
	target_publish(fixture.store, 0);
	target_publish(fixture.store, 3000);
	fake_store_put(fixture.store, "op/evacuate/a-1", "{}");
	ck_assert(run_until(&fixture, &fixture.evacuated, 2000));
	ck_assert(run_until(&fixture, &fixture.listed, 2000));
	run_for(&fixture, 600);
	ck_assert_int_eq(fixture.cold_ms, 3000);
	store_set_relay(fixture.client, &fixture.addresses[1]);
	store_refresh(fixture.client);
	run_for(&fixture, 600);
	ck_assert_int_eq(fixture.cold_ms, 3000);
	ck_assert(fixture.evacuated);
	store_set_relay(fixture.client, &fixture.addresses[2]);
	store_refresh(fixture.client);
	run_for(&fixture, 600);
	ck_assert(fixture.listed);
	/* Newer ones do. */
	store_set_relay(fixture.client, NULL);
	target_publish(fixture.store, 0);
	run_for(&fixture, 1000);
	ck_assert_int_eq(fixture.cold_ms, 0);
	fixture_destroy(&fixture);
}

/*
 * Guards against a store client that waits for revisions of before the store's
 * return from a copy: those are given out again, and the changes with them are
 * never told to it.
 */
TEST(changes_after_a_restore_arrive_though_their_revisions_are_lower)
{
	fixture_t fixture;
	int64_t copied;

	fixture_create(&fixture);
	copied = fake_store_revision(fixture.store);
	for (int i = 0; i < 10; i++)
		target_publish(fixture.store, 1000 + i);
	ck_assert(run_until(&fixture, &fixture.listed, 2000));
	run_for(&fixture, 600);
	fake_store_set_mode(fixture.store, STORE_RESETS);
	run_for(&fixture, 300);
	fake_store_restore(fixture.store, copied);
	fake_store_put(fixture.store, "op/evacuate/a-1", "{}");
	for (int i = 0; i < 20; i++)
		target_publish(fixture.store, 2000 + i);
	fake_store_set_mode(fixture.store, STORE_WORKS);
	ck_assert(run_until(&fixture, &fixture.evacuated, 3000));
	run_for(&fixture, 600);
	ck_assert_int_eq(fixture.cold_ms, 2019);
	/* It follows on. */
	fake_store_put(fixture.store, "op/evacuate/a-1", NULL);
	target_publish(fixture.store, 3);
	run_for(&fixture, 1000);
	ck_assert(!fixture.evacuated);
	ck_assert_int_eq(fixture.cold_ms, 3);
	fixture_destroy(&fixture);
}

/* The watch of a store whose restore cut no connection tells of it as well. */
TEST(restore_is_seen_in_the_next_answer_of_an_open_connection)
{
	fixture_t fixture;
	int64_t copied;

	fixture_create(&fixture);
	copied = fake_store_revision(fixture.store);
	for (int i = 0; i < 10; i++)
		target_publish(fixture.store, i);
	run_for(&fixture, 600);
	fake_store_restore(fixture.store, copied);
	fake_store_put(fixture.store, "op/evacuate/a-1", "{}");
	for (int i = 0; i < 20; i++)
		target_publish(fixture.store, i);
	ck_assert(run_until(&fixture, &fixture.evacuated, 2000));
	fixture_destroy(&fixture);
}

/* A relay that is one era behind is left, and its items aren't used. */
TEST(relay_of_an_older_era_is_left)
{
	fixture_t fixture;

	fixture_create(&fixture);
	run_for(&fixture, 300);
	fake_store_restore(fixture.store, fake_store_revision(fixture.store));
	target_publish(fixture.store, 7);
	run_for(&fixture, 600);
	ck_assert_int_eq(fixture.cold_ms, 7);
	for (int i = 0; i < 10; i++)
		target_publish(fixture.relays[0], 3000);
	store_set_relay(fixture.client, &fixture.addresses[1]);
	run_for(&fixture, 300);
	ck_assert_int_eq(fixture.cold_ms, 7);
	ck_assert(store_relay_is_paused(fixture.client, &fixture.addresses[1]));
	ck_assert_int_eq(store_revision(fixture.client).era, 2);
	fixture_destroy(&fixture);
}

/*
 * One answer with a wrong era must not lock an instance out of the store for
 * good.
 */
TEST(era_that_was_reported_in_error_is_given_up)
{
	fixture_t fixture;

	fixture_create(&fixture);
	run_for(&fixture, 300);
	fake_store_restore(fixture.relays[0], 100);
	fake_store_put(fixture.relays[0], "op/note", "{}");
	store_set_relay(fixture.client, &fixture.addresses[1]);
	run_for(&fixture, 300);
	ck_assert_int_eq(store_revision(fixture.client).era, 2);
	store_set_relay(fixture.client, NULL);
	fake_store_put(fixture.store, "op/evacuate/a-1", "{}");
	run_for(&fixture, 2000);
	ck_assert(!fixture.evacuated);
	ck_assert(run_until(
	    &fixture, &fixture.evacuated, STORE_WATCH_WAIT_MS + 6000));
	ck_assert_int_eq(store_revision(fixture.client).era, 1);
	fixture_destroy(&fixture);
}

static void
target_publish_unseen(fake_store_t *store, int cold_ms)
{
	g_autofree char *value = target_value(cold_ms);

	fake_store_put_unseen(store, "servers/w", value);
}

/*
 * Guards against a target that is used for seconds after it said that it
 * leaves: the store lost its history, told the watch of one prefix, and left
 * the watch of the targets waiting.
 */
TEST(history_that_one_watch_lost_is_read_again_for_all)
{
	fixture_t fixture;

	fixture_create(&fixture);
	target_publish(fixture.store, 1000);
	ck_assert(run_until(&fixture, &fixture.listed, 2000));
	run_for(&fixture, 600);
	target_publish_unseen(fixture.store, 3000);
	fake_store_forget(fixture.store, "op/");
	run_for(&fixture, 1000);
	ck_assert_int_eq(fixture.cold_ms, 3000);
	fixture_destroy(&fixture);
}

/*
 * Guards against a range that is begun again and again, as others have read
 * newer data meanwhile, and never ends.
 */
TEST(range_is_not_abandoned_when_others_read_newer_data)
{
	fixture_t fixture;

	fixture_create(&fixture);
	run_for(&fixture, 300);
	store_refresh(fixture.client);
	store_note_behind(fixture.client, NOTHING_MISSING);
	ck_assert(!fixture.unreachable);
	fixture_destroy(&fixture);
}

/*
 * Guards against an answer that is given up while it arrives, and begun anew
 * elsewhere: a large configuration on a slow link was late for it.
 */
TEST(answer_that_arrives_is_not_abandoned)
{
	fixture_t fixture;
	g_autofree char *value = g_strnfill(100000, 'x');
	unsigned calls;

	fixture_create(&fixture);
	run_for(&fixture, 300);
	fake_store_set_rate(fixture.store, 50000);
	fake_store_put(fixture.store, "op/evacuate/a-1", value);
	run_for(&fixture, 500);
	calls = fake_store_calls(fixture.store);
	for (int i = 0; i < 3; i++) {
		store_note_behind(fixture.client, NOTHING_MISSING);
		run_for(&fixture, 200);
	}
	ck_assert(!fixture.unreachable);
	ck_assert_uint_eq(fake_store_calls(fixture.store), calls);
	ck_assert(run_until(&fixture, &fixture.evacuated, 4000));
	fixture_destroy(&fixture);
}

/*
 * Guards against dozens of instances that leave a relay as it still receives a
 * configuration, which they have from others.
 */
TEST(change_of_the_configuration_is_no_reason_to_leave_a_relay)
{
	fixture_t fixture;
	revision_t told;

	fixture_create(&fixture);
	fake_store_put(fixture.store, "op/evacuate/a-1", "{}");
	ck_assert(run_until(&fixture, &fixture.evacuated, 2000));
	told = store_told_revision(fixture.client);
	ck_assert_int_eq(told.number, fake_store_revision(fixture.store));
	fake_store_put(fixture.store, "op/config", "{}");
	run_for(&fixture, 300);
	ck_assert_int_eq(
	    revision_compare(store_told_revision(fixture.client), told), 0);
	ck_assert_int_gt(
	    revision_compare(store_known_revision(fixture.client), told), 0);
	fixture_destroy(&fixture);
}

/*
 * Guards against an instance that takes itself for outdated: others report the
 * revision of a removal before its range.
 */
TEST(range_knows_all_changes_before_it)
{
	fixture_t fixture;
	int64_t removed;

	fixture_create(&fixture);
	target_publish(fixture.store, 1000);
	fake_store_put(fixture.store, "servers/w", NULL);
	removed = fake_store_revision(fixture.store);
	run_for(&fixture, 300);
	ck_assert(store_known_revision(fixture.client).number >= removed);
	ck_assert(store_revision(fixture.client).number < removed);
	fixture_destroy(&fixture);
}

/*
 * Guards against a watch that is continued behind the change that is missing,
 * and never tells of it.
 */
TEST(change_before_the_position_of_the_watch_is_read_by_a_range)
{
	fixture_t fixture;
	revision_t missing = {.era = 1};

	fixture_create(&fixture);
	target_publish(fixture.store, 1000);
	ck_assert(run_until(&fixture, &fixture.listed, 2000));
	run_for(&fixture, 600);
	target_publish_unseen(fixture.store, 3000);
	missing.number = fake_store_revision(fixture.store);
	/* Brings the watch behind the change. */
	fake_store_put(fixture.store, "servers/other", "{}");
	run_for(&fixture, 600);
	ck_assert_int_eq(fixture.cold_ms, 1000);
	store_note_behind(fixture.client, missing);
	run_for(&fixture, 1000);
	ck_assert_int_eq(fixture.cold_ms, 3000);
	fixture_destroy(&fixture);
}

/*
 * Guards against an answer that is lost for the key of one item, and against a
 * key that is taken for another one.
 */
TEST(item_without_a_readable_key_costs_only_itself)
{
	fixture_t fixture;

	fixture_create(&fixture);
	target_publish(fixture.store, 1000);
	ck_assert(run_until(&fixture, &fixture.listed, 2000));
	/* The stand-in writes it as it is into its answer. */
	fake_store_put(fixture.store, "servers/w\\u0000b", "{}");
	run_for(&fixture, 600);
	ck_assert(fixture.listed);
	store_refresh(fixture.client);
	run_for(&fixture, 600);
	ck_assert(fixture.listed);
	fake_store_put(fixture.store, "servers/w", NULL);
	run_for(&fixture, 600);
	ck_assert(!fixture.listed);
	fixture_destroy(&fixture);
}

TEST_MAIN("store")
