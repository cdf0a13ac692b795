#include "core/poison.h"

#include <string.h>

#include "schedule.h"
#include "test.h"

G_DEFINE_AUTOPTR_CLEANUP_FUNC(poison_table_t, poison_table_destroy)

static const uint8_t body_a[DIGEST_BYTES] = {1};

static void
digest_of(unsigned n, uint8_t digest[DIGEST_BYTES])
{
	memset(digest, 0, DIGEST_BYTES);
	memcpy(digest, &n, sizeof(n));
}

/* Sends the losses recorded by `from` to `to`. */
static void
send_stamps(
    poison_table_t *from, const char *zone, poison_table_t *to, time_us_t now)
{
	heartbeat_t heartbeat = {0};

	g_strlcpy(heartbeat.zone, zone, sizeof(heartbeat.zone));
	poison_fill(from, &heartbeat, now);
	poison_merge(to, &heartbeat, now);
}

/* Guards against the loss of a third target, and against a body that is refused
 * forever. */
TEST(second_loss_refuses_for_ten_minutes)
{
	g_autoptr(poison_table_t) table = poison_table_create("z", 8);

	ck_assert_uint_eq(poison_record_loss(table, body_a, "w1", 0, 10), 1);
	ck_assert_int_eq(poison_refused_until(table, body_a, 10), 0);
	/* Another request was running on w1 when it crashed. */
	ck_assert_uint_eq(poison_record_loss(table, body_a, "w1", 5, 11), 1);
	/* w1 was restarted and crashed again. */
	ck_assert_uint_eq(poison_record_loss(table, body_a, "w1", 12, 20), 2);
	ck_assert_int_eq(
	    poison_refused_until(table, body_a, 21), 20 + POISON_TTL_US);
	ck_assert_int_eq(
	    poison_refused_until(table, body_a, 20 + POISON_TTL_US), 0);
	ck_assert_uint_eq(poison_count(table), 0);
}

/* Guards against a loss that counts twice because two instances report it. */
TEST(one_loss_reported_twice_counts_once)
{
	g_autoptr(poison_table_t) a = poison_table_create("z1", 8);
	g_autoptr(poison_table_t) b = poison_table_create("z1", 8);
	g_autoptr(poison_table_t) c = poison_table_create("z2", 8);

	poison_record_loss(a, body_a, "w1", 0, 10);
	poison_record_loss(b, body_a, "w1", 0, 10);
	for (time_us_t now = 11; now < 14; now++) {
		send_stamps(a, "z1", b, now);
		send_stamps(b, "z1", a, now);
		send_stamps(a, "z1", c, now);
		send_stamps(b, "z1", c, now);
	}
	ck_assert_int_eq(poison_refused_until(a, body_a, 20), 0);
	ck_assert_int_eq(poison_refused_until(c, body_a, 20), 0);
	/* Losses in different zones are added, in both zones. */
	ck_assert_uint_eq(poison_record_loss(c, body_a, "w9", 0, 21), 2);
	send_stamps(c, "z2", a, 22);
	ck_assert_int_ne(poison_refused_until(a, body_a, 22), 0);
	/* In the same zone, a dispatch after the stamp arrived: a new loss. */
	ck_assert_uint_eq(poison_record_loss(b, body_a, "w2", 15, 23), 2);
}

/* Guards against stamps that keep an entry alive by circulating. */
TEST(entries_expire_despite_exchanged_stamps)
{
	poison_table_t *tables[3];
	time_us_t now = 0;
	size_t left = 0;

	for (int i = 0; i < 3; i++)
		tables[i] = poison_table_create("z", 8);
	poison_record_loss(tables[0], body_a, "w1", 0, 1);
	send_stamps(tables[0], "z", tables[1], 1);
	poison_record_loss(tables[1], body_a, "w2", 2, 3);
	while (now < 3 * POISON_TTL_US) {
		now += US_PER_S;
		for (int i = 0; i < 9; i++)
			send_stamps(tables[i / 3], "z", tables[i % 3], now);
	}
	for (int i = 0; i < 3; i++) {
		left += poison_count(tables[i]);
		poison_table_destroy(tables[i]);
	}
	ck_assert_uint_eq(left, 0);
}

/* Guards against unbounded growth, and against eviction of a refused body by
 * many other digests. */
TEST(table_is_bounded_and_keeps_refused_bodies)
{
	g_autoptr(poison_table_t) table = poison_table_create("z", 8);
	heartbeat_t heartbeat = {0};
	uint8_t digest[DIGEST_BYTES];

	poison_record_loss(table, body_a, "w1", 0, 1);
	poison_record_loss(table, body_a, "w2", 2, 3);
	for (unsigned n = 100; n < 200; n++) {
		digest_of(n, digest);
		poison_record_loss(table, digest, "w3", n, n);
	}
	ck_assert_uint_eq(poison_count(table), 8);
	ck_assert_int_ne(poison_refused_until(table, body_a, 200), 0);
	poison_fill(table, &heartbeat, 200);
	ck_assert_uint_eq(heartbeat.n_poison, 8);
	ck_assert_mem_eq(heartbeat.poison[0].digest, digest, DIGEST_BYTES);
	heartbeat.n_poison = 1000; /* more than the array holds */
	heartbeat.poison[0].targets_lost = UINT32_MAX;
	poison_merge(table, &heartbeat, 201);
	ck_assert_int_ne(poison_refused_until(table, digest, 201), 0);
}

/* Guards against digests that don't depend on the key, and against equal
 * digests of different pairs of service and body. */
TEST(digest_depends_on_key_service_and_body)
{
	uint8_t key[POISON_KEY_BYTES] = {1};
	uint8_t one[DIGEST_BYTES], two[DIGEST_BYTES];

	poison_digest(key, "a", "bc", 2, one);
	poison_digest(key, "ab", "c", 1, two);
	ck_assert_mem_ne(one, two, DIGEST_BYTES);
	key[0] = 2;
	poison_digest(key, "a", "bc", 2, two);
	ck_assert_mem_ne(one, two, DIGEST_BYTES);
}

/*
 * Random schedules: four instances in two zones send requests with the same
 * body to the targets of their zone, several at a time. Each instance detects
 * the crash of a target after some delay. Stamps arrive at any time.
 */
#define N_INSTANCES 4
#define N_TARGETS 4
#define N_REQUESTS 8

typedef enum { FAULT_NONE, FAULT_NO_DISPATCH_TIME, FAULT_ONE_ZONE } fault_t;

typedef struct {
	int target; /* -1: none */
	int instance;
	time_us_t dispatched_at;
	bool lost;
} sim_request_t;

static const char *
zone_name(int i)
{
	return i < 2 ? "z1" : "z2";
}

static void
sim_request(rng_t *rng, sim_request_t *request, poison_table_t *table,
    time_us_t now, int fault)
{
	char target[8];

	if (request->target < 0) {
		request->target =
		    (int)rng_below(rng, 2) + (request->instance < 2 ? 0 : 2);
		request->dispatched_at = now;
		request->lost = false;
	} else if (request->lost) {
		g_snprintf(target, sizeof(target), "w%d", request->target);
		poison_record_loss(table, body_a, target,
		    fault == FAULT_NO_DISPATCH_TIME ? now
						    : request->dispatched_at,
		    now);
		request->target = -1;
	}
}

static int
sim_crash_target(sim_request_t *requests, int target)
{
	int crashes = 0;

	for (int i = 0; i < N_REQUESTS; i++) {
		if (requests[i].target != target || requests[i].lost)
			continue;
		requests[i].lost = true;
		crashes = 1;
	}
	return crashes;
}

static const char *
poison_schedule(uint64_t seed, int fault)
{
	rng_t rng = {seed};
	poison_table_t *tables[N_INSTANCES];
	sim_request_t requests[N_REQUESTS];
	const char *violation = NULL;
	int crashes = 0;

	for (int i = 0; i < N_INSTANCES; i++)
		tables[i] = poison_table_create(zone_name(i), 4);
	for (int i = 0; i < N_REQUESTS; i++)
		requests[i] = (sim_request_t){-1, i % N_INSTANCES, 0, false};
	for (time_us_t now = 1; now < 60 && crashes < 2; now++) {
		int i = (int)rng_below(&rng, N_REQUESTS);
		int from = (int)rng_below(&rng, N_INSTANCES);
		int to = (int)rng_below(&rng, N_INSTANCES);

		sim_request(&rng, &requests[i], tables[requests[i].instance],
		    now, fault);
		if (from != to)
			send_stamps(tables[from],
			    fault == FAULT_ONE_ZONE ? zone_name(to ^ 2)
						    : zone_name(from),
			    tables[to], now);
		for (i = 0; i < N_INSTANCES; i++) {
			if (poison_refused_until(tables[i], body_a, now) > 0)
				violation = "one loss counted as two";
		}
		if (rng_below(&rng, 8) == 0)
			crashes += sim_crash_target(
			    requests, (int)rng_below(&rng, N_TARGETS));
	}
	for (int i = 0; i < N_INSTANCES; i++)
		poison_table_destroy(tables[i]);
	return violation;
}

/* Guards against any order of detected losses and received stamps that counts
 * one loss as two. */
TEST(one_loss_never_refuses_a_body)
{
	schedule_check("poison", poison_schedule, 5000, FAULT_ONE_ZONE);
}

TEST_MAIN("poison")
