#include "core/targets.h"

#include <string.h>

#include "test.h"

static const revision_t UNKNOWN;

typedef struct {
	topology_t *topology;
	targets_t *targets;
	time_us_t now;
} fixture_t;

static fixture_t
fixture_create(void)
{
	fixture_t f = {topology_create(), NULL, 10 * US_PER_S};

	topology_add(f.topology, "a-1", "a");
	topology_add(f.topology, "b-1", "b");
	f.targets = targets_create(f.topology, 0);
	return f;
}

static void
fixture_destroy(fixture_t *f)
{
	targets_destroy(f->targets);
	topology_destroy(f->topology);
}

static target_entry_t
entry_make(const char *id)
{
	target_entry_t entry = {.ip = 1,
	    .port = 80,
	    .zone = 0,
	    .slots = 4,
	    .state = TARGET_READY,
	    .started_ms = 1};

	g_strlcpy(entry.id, id, sizeof(entry.id));
	g_strlcpy(entry.service, "engine", sizeof(entry.service));
	return entry;
}

static target_t *
put(fixture_t *f, const char *id)
{
	target_entry_t entry = entry_make(id);

	return targets_put(f->targets, &entry, f->now);
}

TEST(listed_state_decides_usability)
{
	fixture_t f = fixture_create();
	target_entry_t entry = entry_make("t1");
	target_t *target = targets_put(f.targets, &entry, f.now);

	ck_assert(target_is_usable(f.targets, target));
	targets_set_evacuated(f.targets, 0, true);
	ck_assert(!target_is_usable(f.targets, target));
	targets_set_evacuated(f.targets, 0, false);
	entry.state = TARGET_DRAINING;
	ck_assert(!target_is_usable(
	    f.targets, targets_put(f.targets, &entry, f.now)));
	entry = entry_make("t2");
	entry.zone = 1;
	ck_assert(!target_is_usable(
	    f.targets, targets_put(f.targets, &entry, f.now)));
	fixture_destroy(&f);
}

/* Entries that expired during an outage of the publisher return within 2 s. */
TEST(removal_is_delayed_only_after_an_outage)
{
	fixture_t f = fixture_create();

	put(&f, "t1");
	put(&f, "t2");
	put(&f, "t3");
	targets_remove(f.targets, "t1", UNKNOWN, f.now);
	ck_assert_ptr_null(targets_find(f.targets, "t1"));
	targets_set_publisher_reachable(f.targets, false, f.now);
	f.now += US_PER_S;
	targets_set_publisher_reachable(f.targets, true, f.now);
	targets_remove(f.targets, "t2", UNKNOWN, f.now);
	targets_remove(f.targets, "t3", UNKNOWN, f.now);
	f.now += US_PER_S;
	put(&f, "t3");
	f.now += TARGET_REMOVAL_GRACE_US;
	targets_expire(f.targets, f.now);
	ck_assert_ptr_null(targets_find(f.targets, "t2"));
	ck_assert_ptr_nonnull(targets_find(f.targets, "t3"));
	fixture_destroy(&f);
}

/*
 * Guards against delays that add up: a removal that is read late after an
 * outage was kept for the whole grace again.
 */
TEST(removal_read_late_after_an_outage_is_kept_no_longer)
{
	fixture_t f = fixture_create();

	put(&f, "t1");
	targets_set_publisher_reachable(f.targets, false, f.now);
	f.now += US_PER_S;
	targets_set_publisher_reachable(f.targets, true, f.now);
	f.now += TARGET_REMOVAL_GRACE_US - 100 * US_PER_MS;
	targets_remove(f.targets, "t1", UNKNOWN, f.now);
	ck_assert_ptr_nonnull(targets_find(f.targets, "t1"));
	f.now += 100 * US_PER_MS;
	targets_expire(f.targets, f.now);
	ck_assert_ptr_null(targets_find(f.targets, "t1"));
	fixture_destroy(&f);
}

/* An outage in which t1's removal was read, up to the next one. */
static void
remove_between_outages(fixture_t *f)
{
	put(f, "t1");
	targets_set_publisher_reachable(f->targets, false, f->now);
	f->now += US_PER_S;
	targets_set_publisher_reachable(f->targets, true, f->now);
	targets_remove(f->targets, "t1", UNKNOWN, f->now);
	f->now += US_PER_S;
	targets_set_publisher_reachable(f->targets, false, f->now);
}

/*
 * Guards against a target that is used for as long as an outage lasts, though
 * its removal was read before: the removal waited for the publisher's return.
 */
TEST(removal_outlives_no_further_outage)
{
	fixture_t f = fixture_create();

	remove_between_outages(&f);
	f.now += TARGET_REMOVAL_GRACE_US - US_PER_S - 1;
	targets_expire(f.targets, f.now);
	ck_assert_ptr_nonnull(targets_find(f.targets, "t1"));
	f.now += 1;
	targets_expire(f.targets, f.now);
	ck_assert_ptr_null(targets_find(f.targets, "t1"));
	fixture_destroy(&f);
}

/*
 * All entries may have lapsed before a second outage. Targets that are in
 * service are used on, until the publisher could list them again.
 */
TEST(target_in_service_is_kept_through_a_further_outage)
{
	fixture_t f = fixture_create();
	target_t *target;

	remove_between_outages(&f);
	target = targets_find(f.targets, "t1");
	for (int i = 0; i < 100; i++) {
		if (target_removal_wants_check(target, true, f.now))
			ck_assert(!targets_note_health(
			    f.targets, target, true, f.now));
		f.now += 100 * US_PER_MS;
		targets_expire(f.targets, f.now);
		ck_assert_ptr_nonnull(targets_find(f.targets, "t1"));
	}
	targets_set_publisher_reachable(f.targets, true, f.now);
	f.now += TARGET_IN_SERVICE_MAX_AGE_US;
	targets_note_health(f.targets, target, true, f.now);
	f.now += TARGET_REMOVAL_GRACE_US - TARGET_IN_SERVICE_MAX_AGE_US - 1;
	targets_expire(f.targets, f.now);
	ck_assert_ptr_nonnull(targets_find(f.targets, "t1"));
	f.now += 1;
	targets_expire(f.targets, f.now);
	ck_assert_ptr_null(targets_find(f.targets, "t1"));
	fixture_destroy(&f);
}

/* The target tells sooner than the grace whether its entry lapsed. */
TEST(target_that_is_not_in_service_is_removed_at_once)
{
	fixture_t f = fixture_create();
	target_t *target = put(&f, "t1");

	ck_assert(!target_removal_wants_check(target, true, f.now));
	ck_assert(!targets_note_health(f.targets, target, false, f.now));
	targets_set_publisher_reachable(f.targets, false, f.now);
	f.now += US_PER_S;
	targets_set_publisher_reachable(f.targets, true, f.now);
	targets_remove(f.targets, "t1", UNKNOWN, f.now);
	ck_assert(target_removal_wants_check(target, true, f.now));
	targets_note_health(f.targets, target, true, f.now);
	ck_assert(!target_removal_wants_check(target, true, f.now));
	ck_assert(targets_note_health(f.targets, target, false, f.now));
	ck_assert_ptr_null(targets_find(f.targets, "t1"));
	fixture_destroy(&f);
}

/* A restarted target keeps neither the cached prefixes nor the load of its
 * earlier process. */
TEST(restart_with_the_same_id_is_a_new_target)
{
	fixture_t f = fixture_create();
	target_entry_t entry = entry_make("t1");
	target_t *old = targets_put(f.targets, &entry, f.now);
	handle_t old_handle = old->handle;
	uint64_t chain[] = {11};
	uint32_t tokens[] = {500};
	target_attempt_t attempt;
	target_t *target;

	target_prefix_add(old, chain, tokens, 1, 0, f.now);
	target_attempt_begin(old, 100, 50, f.now, &attempt);
	entry.started_ms = 2;
	target = targets_put(f.targets, &entry, f.now);
	ck_assert_uint_ne(target->handle, old_handle);
	ck_assert_uint_eq(target->in_flight, 0);
	ck_assert_uint_eq(target_prefix_cached(target, chain, 1), 0);
	/* The old target is kept until its request has ended. */
	ck_assert_ptr_eq(targets_get(f.targets, old_handle), old);
	target_attempt_finish(old, &attempt, TARGET_RESULT_BROKEN, f.now);
	targets_expire(f.targets, f.now);
	ck_assert_ptr_null(targets_get(f.targets, old_handle));
	fixture_destroy(&f);
}

TEST(unreachable_target_backs_off_longer_each_time)
{
	fixture_t f = fixture_create();
	target_t *target = put(&f, "t1");
	target_attempt_t attempt;
	time_us_t backoff = 0;

	for (int i = 0; i < 3; i++) {
		ck_assert(target_is_healthy(target, f.now));
		target_attempt_begin(target, 0, 0, f.now, &attempt);
		target_attempt_finish(
		    target, &attempt, TARGET_RESULT_UNREACHABLE, f.now);
		ck_assert(!target_is_healthy(target, f.now));
		ck_assert_int_gt(target->backoff_until - f.now, backoff);
		backoff = target->backoff_until - f.now;
		f.now = target->backoff_until;
	}
	/* One probe at a time, and its success ends the backoff. */
	target_attempt_begin(target, 0, 0, f.now, &attempt);
	ck_assert(!target_is_healthy(target, f.now));
	target_attempt_finish(target, &attempt, TARGET_RESULT_OK, f.now);
	ck_assert(target_is_healthy(target, f.now));
	fixture_destroy(&f);
}

/* An engine stops sending with requests in flight. */
TEST(silent_target_gets_no_requests)
{
	fixture_t f = fixture_create();
	target_t *target = put(&f, "t1");
	target_attempt_t first, second;

	target_attempt_begin(target, 0, 0, f.now, &first);
	f.now += TARGET_SILENCE_US - 1;
	ck_assert(target_is_healthy(target, f.now));
	target_byte_received(target, f.now);
	target_attempt_begin(target, 0, 0, f.now, &second);
	f.now += TARGET_SILENCE_US;
	ck_assert(!target_is_healthy(target, f.now));
	target_attempt_finish(target, &first, TARGET_RESULT_CANCELLED, f.now);
	target_attempt_finish(target, &second, TARGET_RESULT_CANCELLED, f.now);
	ck_assert(target_is_healthy(target, f.now));
	fixture_destroy(&f);
}

/* Every instance of a region finds a cold target idle. In any
 * second all senders together must not exceed 1.5 times its rate plus 3. */
TEST(rate_of_a_cold_target_is_limited)
{
	const double rate = 3.8;
	unsigned sent[100] = {0};

	for (int sender = 0; sender < TARGET_COLD_SENDERS; sender++) {
		fixture_t f = fixture_create();
		target_entry_t entry = entry_make("t1");
		target_t *target;

		entry.cold_ms = 20000;
		target = targets_put(f.targets, &entry, f.now);
		ck_assert(target_admits(f.targets, target, rate, f.now) !=
			  TARGET_OPEN);
		target->sender_share = 1.0 / TARGET_COLD_SENDERS;
		for (int step = 0; step < 100; step++) {
			target_attempt_t attempt;

			while (target_admits(f.targets, target, rate, f.now) ==
			       TARGET_OPEN) {
				target_attempt_begin(
				    target, 0, 0, f.now, &attempt);
				sent[step]++;
			}
			f.now += 100 * US_PER_MS;
		}
		while (target->in_flight > 0) {
			target_attempt_t attempt = {0};

			target_attempt_finish(
			    target, &attempt, TARGET_RESULT_CANCELLED, f.now);
		}
		fixture_destroy(&f);
	}
	for (int step = 0; step + 10 <= 100; step++) {
		unsigned sum = 0;

		for (int i = 0; i < 10; i++)
			sum += sent[step + i];
		ck_assert_double_le(sum, rate * 1.5 + 3);
	}
}

TEST(load_of_other_instances_adds_up_in_any_order)
{
	fixture_t f = fixture_create();
	target_load_t load = {target_short_id("t1"), 5, 700, 0};
	target_t *target;

	targets_peer_load(f.targets, 1, &load, 1, f.now);
	target = put(&f, "t1");
	targets_peer_load(f.targets, 2, &load, 1, f.now);
	ck_assert_uint_eq(target->peer_in_flight, 10);
	ck_assert_double_eq(target->peer_pending_tokens, 1400);
	load.in_flight = 1;
	targets_peer_load(f.targets, 1, &load, 1, f.now);
	ck_assert_uint_eq(target->peer_in_flight, 6);
	targets_peer_load(f.targets, 1, NULL, 0, f.now);
	targets_peer_load(f.targets, 2, NULL, 0, f.now);
	ck_assert_uint_eq(target->peer_in_flight, 0);
	ck_assert_double_eq(target->peer_pending_tokens, 0);
	fixture_destroy(&f);
}

/* An instance that was killed never reports that its requests ended. */
TEST(load_of_a_stopped_instance_is_dropped)
{
	fixture_t f = fixture_create();
	target_load_t load = {target_short_id("t1"), 5, 700, 0};
	target_t *target = put(&f, "t1");

	targets_peer_load(f.targets, 1, &load, 1, f.now);
	f.now += TARGET_PEER_LOAD_MAX_AGE_US / 2;
	targets_peer_load(f.targets, 2, &load, 1, f.now);
	targets_expire(f.targets, f.now);
	ck_assert_uint_eq(target->peer_in_flight, 10);
	f.now += TARGET_PEER_LOAD_MAX_AGE_US / 2;
	targets_expire(f.targets, f.now);
	ck_assert_uint_eq(target->peer_in_flight, 5);
	fixture_destroy(&f);
}

/* A third of the instances of a region can't reach each other,
 * and all of them send to the same engines. */
TEST(load_of_unreachable_instances_is_inferred)
{
	fixture_t f = fixture_create();
	target_t *target = put(&f, "t1");

	for (int i = 0; i < 5; i++) {
		f.now += 300 * US_PER_MS;
		target_report_load(target, 3, 0, f.now);
	}
	f.now += US_PER_S;
	ck_assert_uint_ge(target_in_flight(target, f.now), 1);
	ck_assert_uint_le(target_in_flight(target, f.now), 3);
	f.now += TARGET_UNTRACKED_MAX_AGE_US;
	ck_assert_uint_eq(target_in_flight(target, f.now), 0);
	fixture_destroy(&f);
}

TEST(busiest_targets_are_reported)
{
	fixture_t f = fixture_create();
	target_load_t loads[2];
	target_attempt_t attempts[4];
	target_t *targets[3] = {put(&f, "t1"), put(&f, "t2"), put(&f, "t3")};

	target_attempt_begin(targets[0], 0, 0, f.now, &attempts[0]);
	target_attempt_begin(targets[1], 0, 0, f.now, &attempts[1]);
	target_attempt_begin(targets[2], 0, 0, f.now, &attempts[2]);
	target_attempt_begin(targets[2], 0, 0, f.now, &attempts[3]);
	ck_assert_uint_eq(targets_own_load(f.targets, loads, 2, f.now), 2);
	ck_assert_uint_eq(loads[0].target, target_short_id("t3"));
	ck_assert_uint_eq(loads[0].in_flight, 2);
	for (int i = 0; i < 4; i++)
		target_attempt_finish(
		    targets[MIN(i, 2)], &attempts[i], TARGET_RESULT_OK, f.now);
	fixture_destroy(&f);
}

/*
 * A target has ended and another one has its address, while its entry is still
 * listed: it must cost one request of one instance.
 */
TEST(replaced_target_is_not_used_by_any_instance)
{
	fixture_t f = fixture_create();
	fixture_t other = fixture_create();
	target_t *target = put(&f, "t1");
	target_t *theirs = put(&other, "t1");
	target_entry_t entry = entry_make("t1");
	target_notice_t notices[4];
	size_t n;

	ck_assert(target_note_replaced(target, f.now));
	ck_assert(!target_note_replaced(target, f.now));
	ck_assert(!target_is_healthy(target, f.now));
	n = targets_export_notices(f.targets, notices, 4, true, f.now);
	ck_assert_uint_eq(n, 1);
	ck_assert_ptr_eq(
	    targets_import_notice(other.targets, &notices[0], other.now),
	    theirs);
	ck_assert_ptr_null(
	    targets_import_notice(other.targets, &notices[0], other.now));
	ck_assert(!target_is_healthy(theirs, other.now));
	/* It is not told for ever, and one that started again is another. */
	f.now += TARGET_REPLACED_US;
	ck_assert(target_is_healthy(target, f.now));
	ck_assert_uint_eq(
	    targets_export_notices(f.targets, notices, 4, true, f.now), 0);
	entry.started_ms = 2;
	theirs = targets_put(other.targets, &entry, other.now);
	ck_assert(target_is_healthy(theirs, other.now));
	fixture_destroy(&f);
	fixture_destroy(&other);
}

/* Prefill after a cache miss must not count as slowness of the target. */
TEST(cache_miss_is_not_slowness)
{
	fixture_t f = fixture_create();
	target_t *target = put(&f, "t1");
	double before = target->pace.slowness;
	target_attempt_t attempt;

	target_attempt_begin(target, 1000, 50, f.now, &attempt);
	attempt.cache_miss_ms = 70;
	target_first_byte(target, &attempt, f.now + 110 * US_PER_MS);
	target_attempt_finish(target, &attempt, TARGET_RESULT_OK, f.now);
	ck_assert_double_eq(target->pace.slowness, before);
	target_attempt_begin(target, 1000, 50, f.now, &attempt);
	attempt.cache_miss_ms = 70;
	target_first_byte(target, &attempt, f.now + 480 * US_PER_MS);
	target_attempt_finish(target, &attempt, TARGET_RESULT_OK, f.now);
	ck_assert_double_gt(target->pace.slowness, 1.3 * before);
	fixture_destroy(&f);
}

TEST(oldest_prefixes_are_evicted_first)
{
	fixture_t f = fixture_create();
	target_t *target = put(&f, "t1");
	uint64_t chain[2] = {1, 0};
	uint32_t tokens[2] = {100, 400};

	for (uint64_t unique = 10; unique < 15; unique++) {
		chain[1] = unique;
		f.now += US_PER_S;
		target_prefix_add(target, chain, tokens, 2, 1000, f.now);
	}
	ck_assert_uint_eq(target_prefix_cached(target, chain, 2), 2);
	chain[1] = 10;
	ck_assert_uint_eq(target_prefix_cached(target, chain, 2), 1);
	ck_assert_uint_le(target->prefix_tokens, 1000);
	fixture_destroy(&f);
}

#define COLD_PER_S 2.0

static bool
is_open(const fixture_t *f, target_t *target)
{
	return target_admits(f->targets, target, COLD_PER_S, f->now) ==
	       TARGET_OPEN;
}

/* Its entry is from before it turned cold, and may arrive again. */
TEST(entry_does_not_end_what_the_target_stated)
{
	fixture_t f = fixture_create();
	target_t *target = put(&f, "t1");

	ck_assert(is_open(&f, target));
	target_note_cold(target, 3000, f.now);
	ck_assert(!is_open(&f, target));
	put(&f, "t1");
	ck_assert(target_is_cold(target, f.now));
	f.now += 3 * US_PER_S;
	ck_assert(is_open(&f, target));
	fixture_destroy(&f);
}

/* A later answer of the target replaces an earlier one. */
TEST(target_that_states_to_be_warm_is_warm)
{
	fixture_t f = fixture_create();
	target_t *target = put(&f, "t1");

	target_note_cold(target, 3000, f.now);
	f.now += US_PER_S;
	target_note_cold(target, 0, f.now);
	ck_assert(!target_is_cold(target, f.now));
	fixture_destroy(&f);
}

static size_t
notices_pass(fixture_t *from, fixture_t *to, time_us_t transit)
{
	target_notice_t notices[8];
	size_t n = targets_export_notices(
	    from->targets, notices, G_N_ELEMENTS(notices), true, from->now);

	from->now += transit;
	to->now += transit;
	for (size_t i = 0; i < n; i++)
		targets_import_notice(to->targets, &notices[i], to->now);
	return n;
}

TEST(notice_reaches_others_and_comes_back_no_newer)
{
	fixture_t a = fixture_create();
	fixture_t b = fixture_create();
	target_t *at_a = put(&a, "t1");
	target_t *at_b = put(&b, "t1");
	time_us_t end = a.now + 3 * US_PER_S;

	target_note_cold(at_a, 3000, a.now);
	for (int i = 0; i < 20; i++) {
		ck_assert_uint_eq(notices_pass(&a, &b, 20 * US_PER_MS), 1);
		ck_assert_uint_eq(notices_pass(&b, &a, 20 * US_PER_MS), 1);
	}
	ck_assert_int_eq(at_a->stated_cold_until, end);
	ck_assert_int_le(at_b->stated_cold_until, end + 40 * US_PER_MS);
	/* It turned warm early, which a later answer tells. */
	target_note_cold(at_a, 0, a.now);
	notices_pass(&b, &a, 20 * US_PER_MS);
	ck_assert(!target_is_cold(at_a, a.now));
	ck_assert_uint_eq(notices_pass(&a, &b, 0), 0);
	fixture_destroy(&a);
	fixture_destroy(&b);
}

/* It started again under its id, or another has the id of a hash. */
TEST(notice_of_an_earlier_start_is_ignored)
{
	fixture_t a = fixture_create();
	fixture_t b = fixture_create();
	target_entry_t entry = entry_make("t1");
	target_t *restarted;

	target_note_cold(put(&a, "t1"), 3000, a.now);
	entry.started_ms = 2;
	restarted = targets_put(b.targets, &entry, b.now);
	notices_pass(&a, &b, 0);
	ck_assert(!target_is_cold(restarted, b.now));
	fixture_destroy(&a);
	fixture_destroy(&b);
}

/* All are told in turn, however few fit in one message. */
TEST(notices_beyond_the_limit_follow)
{
	fixture_t f = fixture_create();
	g_autoptr(GHashTable) told = g_hash_table_new(NULL, NULL);

	for (int i = 0; i < 10; i++) {
		g_autofree char *id = g_strdup_printf("t%d", i);

		target_note_cold(put(&f, id), 3000, f.now);
	}
	for (int i = 0; i < 4; i++) {
		target_notice_t notices[3];
		size_t n =
		    targets_export_notices(f.targets, notices, 3, true, f.now);

		ck_assert_uint_eq(n, 3);
		for (size_t j = 0; j < n; j++)
			g_hash_table_add(
			    told, GUINT_TO_POINTER(notices[j].target));
	}
	ck_assert_uint_eq(g_hash_table_size(told), 10);
	fixture_destroy(&f);
}

/* Half of a region's instances are cut off; the others don't use the target. */
TEST(isolated_instances_keep_to_their_part_of_the_cold_rate)
{
	enum { INSTANCES = 28, ISOLATED = 14 };
	fixture_t f[ISOLATED];
	target_t *target[ISOLATED];
	target_attempt_t attempt;
	unsigned sent[40] = {0};
	unsigned total = 0;
	double rate = 3.8;

	for (int i = 0; i < ISOLATED; i++) {
		f[i] = fixture_create();
		f[i].now += i;
		target[i] = put(&f[i], "t1");
		targets_set_isolated(f[i].targets, INSTANCES);
	}
	for (int step = 0; step < 4000; step++) {
		for (int i = 0; i < ISOLATED; i++) {
			f[i].now += 10 * US_PER_MS;
			if (target_admits(f[i].targets, target[i], rate,
				f[i].now) != TARGET_OPEN)
				continue;
			target_attempt_begin(
			    target[i], 0, 0, f[i].now, &attempt);
			sent[step / 100]++;
			total++;
		}
	}
	for (size_t s = 0; s < G_N_ELEMENTS(sent); s++)
		ck_assert_uint_le(sent[s], (unsigned)(1.5 * rate + 3));
	ck_assert_uint_ge(total, (unsigned)(0.9 * 40 * rate / 2));
	/* Back in touch: no limit is left over. */
	targets_set_isolated(f[0].targets, 0);
	for (int n = 0; n < 20; n++) {
		ck_assert(target_admits(f[0].targets, target[0], rate,
			      f[0].now) == TARGET_OPEN);
		target_attempt_begin(target[0], 0, 0, f[0].now, &attempt);
	}
	for (int i = 0; i < ISOLATED; i++)
		fixture_destroy(&f[i]);
}

TEST(list_without_changes_is_stale)
{
	fixture_t f = fixture_create();

	targets_note_listed(f.targets, UNKNOWN, f.now);
	f.now += TARGET_LIST_MAX_AGE_US;
	ck_assert(!targets_list_is_stale(f.targets, f.now));
	ck_assert(targets_list_is_stale(f.targets, f.now + 1));
	fixture_destroy(&f);
}

static target_t *
put_revision(
    fixture_t *f, const char *id, target_state_t state, int64_t revision)
{
	target_entry_t entry = entry_make(id);

	entry.state = state;
	entry.revision = (revision_t){1, revision};
	return targets_put(f->targets, &entry, f->now);
}

static void
remove_revision(fixture_t *f, const char *id, int64_t revision)
{
	targets_remove(f->targets, id, (revision_t){1, revision}, f->now);
}

static bool
is_used(const fixture_t *f, const char *id)
{
	const target_t *target = targets_find(f->targets, id);

	return target != NULL && target_is_usable(f->targets, target);
}

/*
 * Guards against a target that is used again though it leaves: a copy of the
 * store, or a source that is behind, has an older entry of the same start.
 */
TEST(draining_target_does_not_become_ready_again)
{
	fixture_t f = fixture_create();
	target_entry_t entry = entry_make("t1");

	put_revision(&f, "t1", TARGET_READY, 5);
	put_revision(&f, "t1", TARGET_DRAINING, 7);
	put_revision(&f, "t1", TARGET_READY, 9);
	ck_assert(!is_used(&f, "t1"));
	remove_revision(&f, "t1", 10);
	put_revision(&f, "t1", TARGET_READY, 11);
	ck_assert(!is_used(&f, "t1"));
	/* Another process. */
	entry.started_ms = 2;
	targets_put(f.targets, &entry, f.now);
	ck_assert(is_used(&f, "t1"));
	fixture_destroy(&f);
}

/* Without the time of its start, a later entry may be of another process. */
TEST(draining_target_of_unknown_start_may_become_ready_again)
{
	fixture_t f = fixture_create();
	target_entry_t entry = entry_make("t1");

	entry.started_ms = 0;
	entry.state = TARGET_DRAINING;
	entry.revision = (revision_t){1, 7};
	targets_put(f.targets, &entry, f.now);
	entry.state = TARGET_READY;
	entry.revision.number = 6;
	targets_put(f.targets, &entry, f.now);
	ck_assert(!is_used(&f, "t1"));
	entry.revision.number = 8;
	targets_put(f.targets, &entry, f.now);
	ck_assert(is_used(&f, "t1"));
	fixture_destroy(&f);
}

/*
 * Guards against a removal that is forgotten as an older entry is read from
 * another source while the removal is doubted.
 */
TEST(older_entry_does_not_end_a_doubted_removal)
{
	fixture_t f = fixture_create();

	put_revision(&f, "t1", TARGET_READY, 5);
	put_revision(&f, "t2", TARGET_READY, 6);
	targets_set_publisher_reachable(f.targets, false, f.now);
	f.now += US_PER_S;
	targets_set_publisher_reachable(f.targets, true, f.now);
	remove_revision(&f, "t1", 8);
	remove_revision(&f, "t2", 9);
	put_revision(&f, "t1", TARGET_READY, 5);
	put_revision(&f, "t2", TARGET_READY, 10);
	f.now += TARGET_REMOVAL_GRACE_US;
	targets_expire(f.targets, f.now);
	ck_assert(!is_used(&f, "t1"));
	ck_assert(is_used(&f, "t2"));
	fixture_destroy(&f);
}

/* An entry that is later than the removal shows that it had only lapsed. */
TEST(removal_that_is_told_is_older_than_a_later_entry)
{
	fixture_t a = fixture_create();
	fixture_t b = fixture_create();
	target_t *target;

	put_revision(&a, "t1", TARGET_READY, 5);
	put_revision(&b, "t1", TARGET_READY, 9);
	remove_revision(&a, "t1", 8);
	ck_assert_uint_eq(notices_pass(&a, &b, 0), 1);
	target = targets_find(b.targets, "t1");
	ck_assert_int_eq(target->removal_at, 0);
	ck_assert_ptr_null(targets_departure(b.targets, target));
	fixture_destroy(&a);
	fixture_destroy(&b);
}

/*
 * Guards against a target that is used for seconds by an instance whose source
 * is behind, while others know that it has left. One that another instance only
 * read to be removed may have lapsed, and is asked first.
 */
TEST(told_removal_is_decided_by_the_target)
{
	fixture_t a = fixture_create();
	fixture_t b = fixture_create();
	target_t *target;

	put_revision(&a, "t1", TARGET_READY, 5);
	target = put_revision(&b, "t1", TARGET_READY, 5);
	remove_revision(&a, "t1", 8);
	notices_pass(&a, &b, 0);
	ck_assert(is_used(&b, "t1"));
	ck_assert(!target_removal_wants_check(target, true, b.now));
	b.now += TARGET_TOLD_CHECK_DELAY_US;
	ck_assert(target_removal_wants_check(target, true, b.now));
	ck_assert(!target_removal_wants_check(target, false, b.now));
	ck_assert(!targets_note_health(b.targets, target, false, b.now));
	ck_assert(!is_used(&b, "t1"));
	/* Its answer is believed by those that hear of it. */
	put_revision(&a, "t1", TARGET_READY, 5);
	a.now = b.now;
	notices_pass(&b, &a, 0);
	ck_assert(!is_used(&a, "t1"));
	fixture_destroy(&a);
	fixture_destroy(&b);
}

/*
 * Guards against one instance's mistake that ends the use of a target on all:
 * the own source has read past the removal that was told, and still lists it.
 */
TEST(told_removal_is_dropped_if_the_own_source_knows_better)
{
	fixture_t a = fixture_create();
	fixture_t b = fixture_create();
	target_t *target;

	put_revision(&a, "t1", TARGET_READY, 5);
	target = put_revision(&b, "t1", TARGET_READY, 5);
	remove_revision(&a, "t1", 8);
	notices_pass(&a, &b, 0);
	targets_note_listed(b.targets, (revision_t){1, 7}, b.now);
	ck_assert_int_ne(target->removal_at, 0);
	targets_note_listed(b.targets, (revision_t){1, 8}, b.now);
	ck_assert_int_eq(target->removal_at, 0);
	b.now += TARGET_REMOVAL_GRACE_US;
	targets_expire(b.targets, b.now);
	ck_assert(is_used(&b, "t1"));
	/* Also if the target's health is bad, or the list is late. */
	put_revision(&a, "t1", TARGET_READY, 8);
	remove_revision(&a, "t1", 11);
	a.now = b.now;
	notices_pass(&a, &b, 0);
	b.now += TARGET_REMOVAL_GRACE_US;
	targets_expire(b.targets, b.now);
	ck_assert(!is_used(&b, "t1"));
	targets_note_health(b.targets, target, false, b.now);
	ck_assert(!is_used(&b, "t1"));
	targets_note_listed(b.targets, (revision_t){1, 11}, b.now);
	ck_assert(is_used(&b, "t1"));
	/* What it read itself, it doesn't doubt for that. */
	targets_set_publisher_reachable(b.targets, false, b.now);
	targets_set_publisher_reachable(b.targets, true, b.now);
	remove_revision(&b, "t1", 14);
	put_revision(&a, "t1", TARGET_READY, 12);
	remove_revision(&a, "t1", 14);
	a.now = b.now;
	ck_assert_uint_gt(notices_pass(&a, &b, 0), 0);
	targets_note_listed(b.targets, (revision_t){1, 15}, b.now);
	b.now += TARGET_REMOVAL_GRACE_US;
	targets_expire(b.targets, b.now);
	ck_assert(!is_used(&b, "t1"));
	fixture_destroy(&a);
	fixture_destroy(&b);
}

/* An entry of a source that is behind lists a target that has left anew. */
TEST(older_entry_after_a_removal_is_doubted)
{
	fixture_t f = fixture_create();
	target_t *target;

	put_revision(&f, "t1", TARGET_READY, 5);
	remove_revision(&f, "t1", 8);
	target = put_revision(&f, "t1", TARGET_READY, 5);
	ck_assert(target_removal_wants_check(target, true, f.now));
	f.now += TARGET_REMOVAL_GRACE_US;
	targets_expire(f.targets, f.now);
	ck_assert(!is_used(&f, "t1"));
	fixture_destroy(&f);
}

TEST(target_that_says_that_it_leaves_is_told_to_others)
{
	fixture_t a = fixture_create();
	fixture_t b = fixture_create();

	put_revision(&b, "t1", TARGET_READY, 5);
	ck_assert(targets_note_leaving(
	    a.targets, put_revision(&a, "t1", TARGET_READY, 5), a.now));
	ck_assert(!is_used(&a, "t1"));
	notices_pass(&a, &b, 20 * US_PER_MS);
	ck_assert(!is_used(&b, "t1"));
	ck_assert_int_le(
	    targets_departure(b.targets, targets_find(b.targets, "t1"))
		->known_at,
	    b.now);
	fixture_destroy(&a);
	fixture_destroy(&b);
}

TEST_MAIN("targets")
