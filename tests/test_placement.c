#include "core/placement.h"

#include <stdio.h>
#include <string.h>

#include "test.h"

#define TARGETS 6

typedef struct {
	places_t *places;
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
	ck_assert(prompt_read_parts(prompt, parts, strlen(parts)));
	prompt->tokens_in = tokens_in;
	prompt->tokens_out = 80;
}

static fixture_t
fixture_create(bool engine)
{
	fixture_t f = {.places = places_create(),
	    .service = {.name = "pen",
		.engine = engine,
		.cache_tokens = 400000},
	    .now = 10 * US_PER_S,
	    .random = 1};

	places_add(f.places, "a-1", "a");
	f.targets = targets_create(f.places, 0);
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
	places_destroy(f->places);
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

/* Sends one request and never ends it. */
static target_t *
send_one(fixture_t *f, double *tokens)
{
	placement_t placement;
	target_send_t send;

	/* The last part of each prompt is its own. */
	f->prompt.chain[f->prompt.n_parts - 1] = f->random + 1000000;
	placement = pick(f);
	if (placement.verdict != PLACEMENT_START)
		return NULL;
	if (tokens != NULL)
		*tokens = placement.tokens;
	target_sent(placement.target, placement.tokens, placement.expected_ms,
	    f->now, &send);
	target_prefix_add(placement.target, f->prompt.chain, f->prompt.tokens,
	    f->prompt.n_parts, f->service.cache_tokens, f->now);
	return placement.target;
}

static void
end_all(fixture_t *f)
{
	for (int i = 0; i < TARGETS; i++) {
		while (f->all[i]->in_flight > 0) {
			target_send_t send = {0};

			target_done(f->all[i], &send, TARGET_RESULT_OK, f->now);
		}
	}
}

TEST(parts_are_read_or_refused_whole)
{
	static const char *const bad[] = {
	    "", "aa", "aa:", ":5", "aa:5,", "aa:x", "aa:1:2"};
	prompt_t prompt;

	prompt_make(&prompt, "5c1e07a2:800,91bd3f06:410", 1300);
	ck_assert_uint_eq(prompt.n_parts, 2);
	ck_assert_uint_eq(prompt.tokens[1], 410);
	for (size_t i = 1; i < sizeof(bad) / sizeof(bad[0]); i++) {
		bool read = prompt_read_parts(&prompt, bad[i], strlen(bad[i]));

		/* A comma at the end ends the list. */
		ck_assert_msg(
		    read == (strcmp(bad[i], "aa:5,") == 0), "%s", bad[i]);
	}
}

/* Instances that know nothing of each other's requests must send the prompts of
 * one subject to one target. */
TEST(instances_agree_where_a_prefix_belongs)
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

/* Load pattern: one subject gets so hot that its target falls behind. */
TEST(hot_prefix_spills_before_its_target_is_late)
{
	fixture_t f = fixture_create(true);
	unsigned used = 0;

	for (int i = 0; i < 40; i++)
		ck_assert_ptr_nonnull(send_one(&f, NULL));
	for (int i = 0; i < TARGETS; i++) {
		used += f.all[i]->in_flight > 0;
		ck_assert_double_le(
		    target_expected_ms(f.all[i], 0), PLACEMENT_WAIT_MS);
	}
	ck_assert_uint_ge(used, 2);
	end_all(&f);
	fixture_destroy(&f);
}

TEST(engines_that_are_behind_make_requests_wait)
{
	fixture_t f = fixture_create(true);
	unsigned sent = 0;

	while (send_one(&f, NULL) != NULL)
		ck_assert_uint_lt(++sent, 1000);
	ck_assert_int_eq(pick(&f).verdict, PLACEMENT_WAIT);
	ck_assert_uint_gt(sent, TARGETS);
	end_all(&f);
	fixture_destroy(&f);
}

/* Load pattern: prompts keep all engines reading, and the streams that they
 * also run end after their deadline. */
TEST(engine_with_slow_streams_gets_no_more)
{
	fixture_t f = fixture_create(true);
	placement_request_t request = {.service = &f.service,
	    .prompt = &f.prompt,
	    .region_instances = 3,
	    .gap_limit_ms = 150};

	for (int i = 0; i < TARGETS; i++) {
		target_send_t send;

		for (int n = 0; n < PLACEMENT_FEW; n++)
			target_sent(f.all[i], 10, 0, f.now, &send);
		for (int n = 0; n < 20; n++) {
			f.now += 20 * US_PER_MS;
			target_event_gap(f.all[i], 250 * US_PER_MS, f.now);
		}
	}
	ck_assert_int_eq(
	    placement_pick(f.targets, &request, f.now).verdict, PLACEMENT_WAIT);
	request.gap_limit_ms = 300;
	ck_assert_int_eq(placement_pick(f.targets, &request, f.now).verdict,
	    PLACEMENT_START);
	/* What was seen long ago counts no more. */
	request.gap_limit_ms = 150;
	f.now += 2 * TARGET_GAP_LIFE_US;
	for (int i = 0; i < TARGETS; i++)
		target_heard(f.all[i], f.now);
	ck_assert_int_eq(placement_pick(f.targets, &request, f.now).verdict,
	    PLACEMENT_START);
	end_all(&f);
	fixture_destroy(&f);
}

/* Load pattern: a target that fails, or refuses, at once is always idle. */
static void
black_hole(target_result_t result)
{
	fixture_t f = fixture_create(false);
	unsigned at_bad = 0;

	for (int i = 0; i < 2000; i++) {
		placement_t placement = pick(&f);
		target_send_t send;

		f.now += 5 * US_PER_MS;
		ck_assert_int_eq(placement.verdict, PLACEMENT_START);
		target_sent(placement.target, 0, 0, f.now, &send);
		at_bad += placement.target == f.all[0];
		target_done(placement.target, &send,
		    placement.target == f.all[0] ? result : TARGET_RESULT_OK,
		    f.now);
	}
	/* A sixth would be its even share. */
	ck_assert_uint_le(at_bad, 2000 / 60);
	fixture_destroy(&f);
}

TEST(target_that_fails_at_once_attracts_nothing)
{
	black_hole(TARGET_RESULT_ERROR);
	black_hole(TARGET_RESULT_BROKEN);
	black_hole(TARGET_RESULT_UNREACHABLE);
	black_hole(TARGET_RESULT_REFUSED);
}

TEST(plain_requests_go_where_slots_are_free)
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
		    f.all[i]->in_flight, 6 * PLACEMENT_PLAIN_DEPTH);
	end_all(&f);
	fixture_destroy(&f);
}

TEST(all_paused_targets_are_tried_one_by_one)
{
	fixture_t f = fixture_create(false);

	for (int i = 0; i < TARGETS; i++) {
		target_send_t send;

		target_sent(f.all[i], 0, 0, f.now, &send);
		target_done(f.all[i], &send, TARGET_RESULT_UNREACHABLE, f.now);
	}
	for (int i = 0; i < TARGETS; i++)
		ck_assert_ptr_nonnull(send_one(&f, NULL));
	ck_assert_ptr_null(send_one(&f, NULL));
	end_all(&f);
	fixture_destroy(&f);
}

TEST(tried_targets_are_left_out)
{
	fixture_t f = fixture_create(false);
	placement_request_t request = {
	    .service = &f.service, .region_instances = 1};

	for (size_t i = 0; i < TARGETS; i++) {
		placement_t placement;

		request.n_tried = i;
		placement = placement_pick(f.targets, &request, f.now);
		ck_assert_int_eq(placement.verdict, PLACEMENT_START);
		request.tried[i] = placement.target->handle;
		for (size_t j = 0; j < i; j++)
			ck_assert_uint_ne(
			    request.tried[j], placement.target->handle);
	}
	request.n_tried = TARGETS;
	ck_assert_int_eq(
	    placement_pick(f.targets, &request, f.now).verdict, PLACEMENT_NONE);
	fixture_destroy(&f);
}

TEST_MAIN("placement")
