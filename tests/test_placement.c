#include "core/placement.h"

#include <stdio.h>
#include <string.h>

#include "balance/urgency.h"
#include "core/random.h"
#include "test.h"

#define TARGETS 6

typedef struct {
	topology_t *topology;
	targets_t *targets;
	target_t *all[TARGETS];
	catalog_service_t service;
	prompt_t prompt;
	time_us_t now;
	uint64_t random;
} fixture_t;

static void
prompt_make(prompt_t *prompt, const char *parts, uint32_t tokens_in)
{
	memset(prompt, 0, sizeof(*prompt));
	ck_assert(prompt_parse_parts(prompt, parts, strlen(parts)));
	prompt->tokens_in = tokens_in;
	prompt->tokens_out = 80;
}

static fixture_t
fixture_create(bool engine)
{
	fixture_t f = {.topology = topology_create(),
	    .service = {.name = "pen",
		.engine = engine,
		.cache_tokens = 400000},
	    .now = 10 * US_PER_S,
	    .random = 1};

	topology_add(f.topology, "a-1", "a");
	f.targets = targets_create(f.topology, 0);
	for (int i = 0; i < TARGETS; i++) {
		target_entry_t entry = {.ip = 1,
		    .port = (uint16_t)(80 + i),
		    .slots = engine ? 128 : 6,
		    .started_ms = 1};

		snprintf(entry.id, sizeof(entry.id), "t%d", i);
		snprintf(entry.service, sizeof(entry.service), "pen");
		f.all[i] = targets_put(f.targets, &entry, f.now);
	}
	prompt_make(&f.prompt, "aa:2500,bb:3800,cc:2900", 9200);
	return f;
}

static void
fixture_destroy(fixture_t *f)
{
	targets_destroy(f->targets);
	topology_destroy(f->topology);
}

static placement_t
pick(fixture_t *f)
{
	placement_request_t request = {.service = &f->service,
	    .prompt = f->service.engine ? &f->prompt : NULL,
	    .region_instances = 3,
	    .random = f->random++};

	return placement_pick(f->targets, &request, f->now);
}

/* Sends one request and leaves it in flight. */
static target_t *
send_one(fixture_t *f, double *tokens)
{
	placement_t placement;
	target_attempt_t attempt;

	/* The last part of each prompt is unique. */
	f->prompt.chain[f->prompt.n_parts - 1] = f->random + 1000000;
	placement = pick(f);
	if (placement.outcome != PLACEMENT_START)
		return NULL;
	if (tokens != NULL)
		*tokens = placement.tokens;
	target_attempt_begin(placement.target, placement.tokens,
	    placement.expected_ms, f->now, &attempt);
	target_prefix_add(placement.target, f->prompt.chain, f->prompt.tokens,
	    f->prompt.n_parts, f->service.cache_tokens, f->now);
	return placement.target;
}

static void
end_all(fixture_t *f)
{
	for (int i = 0; i < TARGETS; i++) {
		while (f->all[i]->in_flight > 0) {
			target_attempt_t attempt = {0};

			target_attempt_finish(
			    f->all[i], &attempt, TARGET_RESULT_OK, f->now);
		}
	}
}

TEST(malformed_part_lists_are_refused)
{
	static const char *const bad[] = {
	    "", "aa", "aa:", ":5", "aa:5,", "aa:x", "aa:1:2"};
	prompt_t prompt;

	prompt_make(&prompt, "5c1e07a2:800,91bd3f06:410", 1300);
	ck_assert_uint_eq(prompt.n_parts, 2);
	ck_assert_uint_eq(prompt.tokens[1], 410);
	for (size_t i = 1; i < sizeof(bad) / sizeof(bad[0]); i++) {
		bool read = prompt_parse_parts(&prompt, bad[i], strlen(bad[i]));

		/* A trailing comma is allowed. */
		ck_assert_msg(
		    read == (strcmp(bad[i], "aa:5,") == 0), "%s", bad[i]);
	}
}

/* Instances that don't know each other's requests must send the prompts of one
 * subject to the same target. */
TEST(instances_agree_on_the_target_of_a_prefix)
{
	fixture_t one = fixture_create(true);
	fixture_t two = fixture_create(true);

	for (int subject = 0; subject < 50; subject++) {
		char parts[64];
		target_t *a, *b;

		snprintf(parts, sizeof(parts), "aa:2500,%x:3800,%x:2900",
		    subject, 1000 + subject);
		prompt_make(&one.prompt, parts, 9200);
		two.prompt = one.prompt;
		two.random = 99 + (uint64_t)subject;
		a = send_one(&one, NULL);
		b = send_one(&two, NULL);
		ck_assert_str_eq(a->entry.id, b->entry.id);
		end_all(&one);
		end_all(&two);
	}
	fixture_destroy(&one);
	fixture_destroy(&two);
}

/* One subject has more requests than its target can handle. */
TEST(hot_prefix_spills_before_its_target_is_overloaded)
{
	fixture_t f = fixture_create(true);
	unsigned used = 0;

	for (int i = 0; i < 40; i++)
		ck_assert_ptr_nonnull(send_one(&f, NULL));
	for (int i = 0; i < TARGETS; i++) {
		used += f.all[i]->in_flight > 0;
		ck_assert_double_le(target_expected_ms(f.all[i], 0, f.now),
		    PLACEMENT_MAX_EXPECTED_MS);
	}
	ck_assert_uint_ge(used, 2);
	end_all(&f);
	fixture_destroy(&f);
}

TEST(requests_wait_while_engines_are_overloaded)
{
	fixture_t f = fixture_create(true);
	unsigned sent = 0;

	while (send_one(&f, NULL) != NULL)
		ck_assert_uint_lt(++sent, 1000);
	ck_assert_int_eq(pick(&f).outcome, PLACEMENT_WAIT);
	ck_assert_uint_gt(sent, TARGETS);
	end_all(&f);
	fixture_destroy(&f);
}

/* Prefill keeps all engines busy, and their running streams end
 * after the deadline. */
TEST(engine_with_slow_streams_gets_no_requests)
{
	fixture_t f = fixture_create(true);
	placement_request_t request = {.service = &f.service,
	    .prompt = &f.prompt,
	    .region_instances = 3,
	    .gap_limit_ms = 150};

	for (int i = 0; i < TARGETS; i++) {
		target_attempt_t attempt;

		for (int n = 0; n < PLACEMENT_SLOW_MIN_REQUESTS; n++)
			target_attempt_begin(f.all[i], 10, 0, f.now, &attempt);
		for (int n = 0; n < 20; n++) {
			f.now += 20 * US_PER_MS;
			target_event_gap(f.all[i], 250 * US_PER_MS, f.now);
		}
	}
	ck_assert_int_eq(
	    placement_pick(f.targets, &request, f.now).outcome, PLACEMENT_WAIT);
	request.gap_limit_ms = 300;
	ck_assert_int_eq(placement_pick(f.targets, &request, f.now).outcome,
	    PLACEMENT_START);
	/* Old observations are ignored. */
	request.gap_limit_ms = 150;
	f.now += 2 * TARGET_GAP_MAX_AGE_US;
	for (int i = 0; i < TARGETS; i++)
		target_byte_received(f.all[i], f.now);
	ck_assert_int_eq(placement_pick(f.targets, &request, f.now).outcome,
	    PLACEMENT_START);
	end_all(&f);
	fixture_destroy(&f);
}

/* Neither streams that end late nor pauses that make them late are risked. */
TEST(gap_limit_is_the_least_of_timeout_and_timely_gap)
{
	ck_assert_double_eq_tol(placement_gap_limit_ms(50, 6000, 0), 100, 1e-9);
	ck_assert_double_lt(placement_gap_limit_ms(50, 60000, 400), 200);
	ck_assert_double_eq_tol(
	    placement_gap_limit_ms(50, 6000, 600), 100, 1e-9);
}

/* The instance that sends prompts has no streams of its own at the engine. */
TEST(slow_streams_of_other_instances_count)
{
	fixture_t f = fixture_create(true);
	placement_request_t request = {.service = &f.service,
	    .prompt = &f.prompt,
	    .region_instances = 3,
	    .gap_limit_ms = 150};
	target_load_t loads[TARGETS];

	for (int i = 0; i < TARGETS; i++)
		loads[i] = (target_load_t){
		    f.all[i]->short_id, PLACEMENT_SLOW_MIN_REQUESTS, 0, 250};
	targets_peer_load(f.targets, 1, loads, TARGETS, f.now);
	ck_assert_int_eq(
	    placement_pick(f.targets, &request, f.now).outcome, PLACEMENT_WAIT);
	for (int i = 0; i < TARGETS; i++)
		loads[i].event_gap_ms = 50;
	for (int n = 0; n < 10; n++)
		targets_peer_load(f.targets, 1, loads, TARGETS, f.now);
	ck_assert_int_eq(placement_pick(f.targets, &request, f.now).outcome,
	    PLACEMENT_START);
	fixture_destroy(&f);
}

/* A target that fails or refuses immediately is always idle. */
static void
check_failing_target(target_result_t result)
{
	fixture_t f = fixture_create(false);
	unsigned n_to_failing = 0;

	for (int i = 0; i < 2000; i++) {
		placement_t placement = pick(&f);
		target_attempt_t attempt;

		f.now += 5 * US_PER_MS;
		ck_assert_int_eq(placement.outcome, PLACEMENT_START);
		target_attempt_begin(placement.target, 0, 0, f.now, &attempt);
		n_to_failing += placement.target == f.all[0];
		target_attempt_finish(placement.target, &attempt,
		    placement.target == f.all[0] ? result : TARGET_RESULT_OK,
		    f.now);
	}
	/* An even share would be a sixth. */
	ck_assert_uint_le(n_to_failing, 2000 / 60);
	fixture_destroy(&f);
}

TEST(target_that_fails_immediately_gets_few_requests)
{
	check_failing_target(TARGET_RESULT_ERROR);
	check_failing_target(TARGET_RESULT_BROKEN);
	check_failing_target(TARGET_RESULT_UNREACHABLE);
	check_failing_target(TARGET_RESULT_REFUSED);
}

TEST(plain_requests_use_free_slots)
{
	fixture_t f = fixture_create(false);

	for (int i = 0; i < TARGETS * 6; i++)
		ck_assert_ptr_nonnull(send_one(&f, NULL));
	for (int i = 0; i < TARGETS; i++)
		ck_assert_uint_eq(f.all[i]->in_flight, 6);
	while (send_one(&f, NULL) != NULL)
		;
	for (int i = 0; i < TARGETS; i++)
		ck_assert_double_le(
		    f.all[i]->in_flight, 6 * PLACEMENT_PLAIN_REQUESTS_PER_SLOT);
	end_all(&f);
	fixture_destroy(&f);
}

TEST(all_backed_off_targets_are_probed_once)
{
	fixture_t f = fixture_create(false);

	for (int i = 0; i < TARGETS; i++) {
		target_attempt_t attempt;

		target_attempt_begin(f.all[i], 0, 0, f.now, &attempt);
		target_attempt_finish(
		    f.all[i], &attempt, TARGET_RESULT_UNREACHABLE, f.now);
	}
	for (int i = 0; i < TARGETS; i++)
		ck_assert_ptr_nonnull(send_one(&f, NULL));
	ck_assert_ptr_null(send_one(&f, NULL));
	end_all(&f);
	fixture_destroy(&f);
}

/* Guards against a stream that goes on at another version. */
TEST(only_targets_of_the_version_are_chosen)
{
	fixture_t f = fixture_create(false);
	target_entry_t entry = f.all[0]->entry;
	target_attempt_t attempt;
	placement_request_t request = {
	    .service = &f.service, .region_instances = 1};

	snprintf(entry.version, sizeof(entry.version), "v2");
	f.all[0] = targets_put(f.targets, &entry, f.now);
	request.version = f.all[0]->version;
	ck_assert_uint_ne(request.version, f.all[1]->version);
	ck_assert_ptr_eq(
	    placement_pick(f.targets, &request, f.now).target, f.all[0]);
	/* It may have started again with another one, under its id. */
	target_attempt_begin(f.all[0], 0, 0, f.now, &attempt);
	target_attempt_finish(
	    f.all[0], &attempt, TARGET_RESULT_UNREACHABLE, f.now);
	f.now += TARGET_ENTRY_DELAY_US - 1;
	ck_assert_int_eq(
	    placement_pick(f.targets, &request, f.now).outcome, PLACEMENT_NONE);
	f.now += 1;
	ck_assert_ptr_eq(
	    placement_pick(f.targets, &request, f.now).target, f.all[0]);
	fixture_destroy(&f);
}

TEST(tried_targets_are_excluded)
{
	fixture_t f = fixture_create(false);
	placement_request_t request = {
	    .service = &f.service, .region_instances = 1};

	for (size_t i = 0; i < TARGETS; i++) {
		placement_t placement;

		request.n_tried = i;
		placement = placement_pick(f.targets, &request, f.now);
		ck_assert_int_eq(placement.outcome, PLACEMENT_START);
		request.tried[i] = placement.target->handle;
		for (size_t j = 0; j < i; j++)
			ck_assert_uint_ne(
			    request.tried[j], placement.target->handle);
	}
	request.n_tried = TARGETS;
	ck_assert_int_eq(
	    placement_pick(f.targets, &request, f.now).outcome, PLACEMENT_NONE);
	fixture_destroy(&f);
}

/*
 * A region at peak load. Each instance has more waiting requests
 * than there are slots, and receives the load reports of the others every 100
 * ms. Requests about one subject share most of their prompts.
 */
#define PEAK_INSTANCES 24
#define PEAK_ENGINES 40
#define PEAK_SLOTS 16
#define PEAK_SUBJECTS 200
#define PEAK_STEP_US (10 * US_PER_MS)
#define PEAK_STEPS 300
#define PEAK_LOAD_STEPS 10 /* between two load reports */
#define PEAK_WAITING 30	   /* at one instance; more are refused */
#define PEAK_ARRIVALS 115  /* a second at one instance: 1.5 times the slots */
#define PEAK_RUN_STEPS 35
/* Urgent requests ask for two thirds of the slots, and all for 1.5 times. */
#define PEAK_URGENT_PART 0.45
#define PEAK_PATIENCE_STEPS 5

typedef struct {
	target_t *target;
	target_attempt_t attempt;
	int engine;
	int ends_at_step;
} peak_run_t;

typedef struct {
	targets_t *targets;
	target_t *engines[PEAK_ENGINES];
	int subjects[PEAK_WAITING]; /* of the waiting requests */
	int waiting_since[PEAK_WAITING];
	bool urgent[PEAK_WAITING];
	int n_waiting;
	urgency_t urgency;
	GArray *runs; /* peak_run_t */
} peak_instance_t;

typedef struct {
	topology_t *topology;
	catalog_service_t service;
	peak_instance_t instances[PEAK_INSTANCES];
	unsigned busy[PEAK_ENGINES]; /* requests that actually run */
	uint64_t random;
	int step;
	/* Urgent requests, of all; 0: none, and none is refused. */
	double urgent_part;
	bool reserves; /* the others leave room to them */
	/* Observed. */
	unsigned n_urgent; /* that arrived */
	unsigned n_urgent_sends;
	unsigned n_sends;
	unsigned n_overcommitted; /* sends to an engine without a free slot */
	unsigned n_preferred;
	double used; /* fraction of all slots, over all steps */
} peak_t;

static peak_t *
peak_create(void)
{
	peak_t *peak = g_new0(peak_t, 1);

	peak->topology = topology_create();
	topology_add(peak->topology, "a-1", "a");
	peak->random = 1;
	peak->service = (catalog_service_t){
	    .name = "pen", .engine = true, .cache_tokens = 400000};
	for (int i = 0; i < PEAK_INSTANCES; i++) {
		peak_instance_t *instance = &peak->instances[i];

		instance->targets = targets_create(peak->topology, 0);
		instance->runs = g_array_new(FALSE, TRUE, sizeof(peak_run_t));
		for (int n = 0; n < PEAK_ENGINES; n++) {
			target_entry_t entry = {.ip = 1,
			    .port = (uint16_t)(80 + n),
			    .slots = PEAK_SLOTS,
			    .started_ms = 1};

			snprintf(entry.id, sizeof(entry.id), "t%d", n);
			snprintf(entry.service, sizeof(entry.service), "pen");
			instance->engines[n] =
			    targets_put(instance->targets, &entry, 0);
		}
	}
	return peak;
}

static time_us_t
peak_now(const peak_t *peak)
{
	return 10 * US_PER_S + peak->step * PEAK_STEP_US;
}

static void
peak_end_runs(peak_t *peak, peak_instance_t *instance, bool all)
{
	for (guint i = instance->runs->len; i > 0; i--) {
		peak_run_t *run =
		    &g_array_index(instance->runs, peak_run_t, i - 1);

		if (!all && run->ends_at_step > peak->step)
			continue;
		target_attempt_finish(run->target, &run->attempt,
		    TARGET_RESULT_OK, peak_now(peak));
		peak->busy[run->engine]--;
		g_array_remove_index_fast(instance->runs, i - 1);
	}
}

static void
peak_destroy(peak_t *peak)
{
	for (int i = 0; i < PEAK_INSTANCES; i++) {
		peak_end_runs(peak, &peak->instances[i], true);
		g_array_unref(peak->instances[i].runs);
		targets_destroy(peak->instances[i].targets);
	}
	topology_destroy(peak->topology);
	g_free(peak);
}

static void
peak_report_loads(peak_t *peak)
{
	for (int i = 0; i < PEAK_INSTANCES; i++) {
		target_load_t loads[PEAK_ENGINES];
		size_t n = targets_own_load(peak->instances[i].targets, loads,
		    PEAK_ENGINES, peak_now(peak));

		for (int j = 0; j < PEAK_INSTANCES; j++) {
			if (j != i)
				targets_peer_load(peak->instances[j].targets,
				    (uint32_t)i + 1, loads, n, peak_now(peak));
		}
	}
	for (int i = 0; i < PEAK_INSTANCES; i++)
		targets_divide_slots(peak->instances[i].targets, PEAK_INSTANCES,
		    &peak->random, peak_now(peak));
}

static void
peak_send(peak_t *peak, peak_instance_t *instance, const placement_t *placement)
{
	peak_run_t run = {.target = placement->target};
	time_us_t now = peak_now(peak);

	while (instance->engines[run.engine] != placement->target)
		run.engine++;
	target_attempt_begin(run.target, placement->tokens,
	    placement->expected_ms, now, &run.attempt);
	target_first_byte(run.target, &run.attempt,
	    now + (time_us_t)(placement->expected_ms * US_PER_MS));
	run.ends_at_step = peak->step + PEAK_RUN_STEPS - 25 +
			   (int)(random_next(&peak->random) % 50);
	peak->n_sends++;
	peak->n_overcommitted += peak->busy[run.engine] >= PEAK_SLOTS;
	peak->n_preferred +=
	    placement->preference_rank < PLACEMENT_PREFERRED_LIMIT;
	peak->busy[run.engine]++;
	g_array_append_val(instance->runs, run);
}

static void
peak_remove(peak_instance_t *instance, int i)
{
	size_t n = (size_t)(--instance->n_waiting - i);

	memmove(&instance->subjects[i], &instance->subjects[i + 1],
	    n * sizeof(int));
	memmove(&instance->waiting_since[i], &instance->waiting_since[i + 1],
	    n * sizeof(int));
	memmove(
	    &instance->urgent[i], &instance->urgent[i + 1], n * sizeof(bool));
}

static placement_t
peak_pick(peak_t *peak, const peak_instance_t *instance, int i, int wait_steps,
    uint32_t region_instances)
{
	char parts[64];
	prompt_t prompt;
	placement_request_t request = {.service = &peak->service,
	    .prompt = &prompt,
	    .region_instances = region_instances,
	    .may_wait_for_cached =
		peak->step - instance->waiting_since[i] < wait_steps,
	    .random = random_next(&peak->random)};

	if (peak->reserves)
		request.reserve = urgency_reserve(
		    &instance->urgency, instance->urgent[i] ? 0 : 1);
	snprintf(parts, sizeof(parts), "aa:2500,b%x:3800,c%x:2900",
	    (unsigned)instance->subjects[i], peak->n_sends);
	prompt_make(&prompt, parts, 9200);
	return placement_pick(instance->targets, &request, peak_now(peak));
}

/* Sends what can be sent of one kind, oldest first. */
static void
peak_dispatch(peak_t *peak, peak_instance_t *instance, bool urgent,
    int wait_steps, uint32_t region_instances)
{
	for (int i = 0; i < instance->n_waiting; i++) {
		bool late = peak->urgent_part > 0 &&
			    peak->step - instance->waiting_since[i] >=
				PEAK_PATIENCE_STEPS;
		placement_t placement = {.outcome = PLACEMENT_WAIT};

		if (instance->urgent[i] != urgent)
			continue;
		if (!late)
			placement = peak_pick(
			    peak, instance, i, wait_steps, region_instances);
		if (!late && placement.outcome != PLACEMENT_START)
			continue;
		if (!late) {
			peak_send(peak, instance, &placement);
			peak->n_urgent_sends += urgent;
		}
		peak_remove(instance, i--);
	}
}

/* A request that finds PEAK_WAITING others waiting is refused. */
static void
peak_arrive(peak_t *peak, peak_instance_t *instance)
{
	double n = PEAK_ARRIVALS * (double)PEAK_STEP_US / US_PER_S;

	for (; (double)(random_next(&peak->random) % 1000) < 1000 * n; n -= 1) {
		int at = instance->n_waiting;
		bool urgent = peak->urgent_part > 0 &&
			      (double)(random_next(&peak->random) % 1000) <
				  1000 * peak->urgent_part;

		peak->n_urgent += urgent;
		urgency_note(
		    &instance->urgency, urgent ? 0 : 1, 1, peak_now(peak));
		if (at == PEAK_WAITING)
			return;
		instance->subjects[at] =
		    (int)(random_next(&peak->random) % PEAK_SUBJECTS);
		instance->waiting_since[at] = peak->step;
		instance->urgent[at] = urgent;
		instance->n_waiting++;
		if (n < 1)
			return;
	}
}

static peak_t *
peak_run(peak_t *peak, int wait_steps, uint32_t region_instances)
{
	for (peak->step = 0; peak->step < PEAK_STEPS; peak->step++) {
		if (peak->step % PEAK_LOAD_STEPS == 0)
			peak_report_loads(peak);
		for (int i = 0; i < PEAK_INSTANCES; i++) {
			peak_instance_t *instance = &peak->instances[i];

			peak_end_runs(peak, instance, false);
			peak_arrive(peak, instance);
			peak_dispatch(
			    peak, instance, true, wait_steps, region_instances);
			peak_dispatch(peak, instance, false, wait_steps,
			    region_instances);
		}
		for (int i = 0; i < PEAK_ENGINES; i++)
			peak->used += (double)MIN(peak->busy[i], PEAK_SLOTS) /
				      (PEAK_SLOTS * PEAK_ENGINES * PEAK_STEPS);
	}
	return peak;
}

static peak_t *
peak_simulate(int wait_steps, uint32_t region_instances)
{
	return peak_run(peak_create(), wait_steps, region_instances);
}

static peak_t *
peak_simulate_urgent(bool reserves)
{
	peak_t *peak = peak_create();

	peak->urgent_part = PEAK_URGENT_PART;
	peak->reserves = reserves;
	return peak_run(peak, 0, PEAK_INSTANCES);
}

/* Instances that choose independently send to the same free slots. Dividing the
 * slots must avoid half of the sends that find none free. */
TEST(slots_at_peak_load_are_divided)
{
	peak_t *undivided = peak_simulate(0, 1);
	peak_t *divided = peak_simulate(0, PEAK_INSTANCES);

	ck_assert_uint_le(
	    divided->n_overcommitted, undivided->n_overcommitted / 2);
	ck_assert_double_ge(divided->used, undivided->used - 0.05);
	peak_destroy(undivided);
	peak_destroy(divided);
}

/* Waiting keeps prompts at their preferred targets, and leaves few slots idle.
 */
TEST(wait_for_a_preferred_target_at_peak_load)
{
	peak_t *immediate = peak_simulate(0, PEAK_INSTANCES);
	peak_t *waiting = peak_simulate(30, PEAK_INSTANCES);
	ck_assert_double_ge(waiting->used, immediate->used - 0.1);
	ck_assert_double_ge((double)waiting->n_preferred / waiting->n_sends,
	    1.5 * immediate->n_preferred / immediate->n_sends);
	peak_destroy(immediate);
	peak_destroy(waiting);
}

static double
peak_urgent_sent(const peak_t *peak)
{
	return (double)peak->n_urgent_sends / peak->n_urgent;
}

/*
 * Instances don't know what waits at others. With a reserve nearly all urgent
 * requests must be sent in time, and the slots still be used.
 */
TEST(urgent_requests_find_room_at_peak_load)
{
	peak_t *without = peak_simulate_urgent(false);
	peak_t *with = peak_simulate_urgent(true);

	ck_assert_double_ge(peak_urgent_sent(with), 0.95);
	ck_assert_double_le(
	    1 - peak_urgent_sent(with), 0.5 * (1 - peak_urgent_sent(without)));
	ck_assert_double_ge(with->used, without->used - 0.1);
	peak_destroy(without);
	peak_destroy(with);
}

TEST_MAIN("placement")
