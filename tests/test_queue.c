#include <stdio.h>

#include <glib.h>

#include "core/queue.h"
#include "random.h"
#include "test.h"

G_DEFINE_AUTOPTR_CLEANUP_FUNC(queue_t, queue_destroy)

#define N_TEAMS 5
#define LIMIT 40
#define COST_LIMIT 6000

static const char *const teams[N_TEAMS] = {"a", "b", "c", "d", "e"};

static queue_decision_t
start_any(queue_item_t item, void *context)
{
	return QUEUE_START;
}

/* Starts only the item that context points to. */
static queue_decision_t
start_one(queue_item_t item, void *context)
{
	return item.item == context ? QUEUE_START : QUEUE_SKIP;
}

static queue_push_result_t
push(queue_t *queue, const char *team, int priority, int64_t cost, void *item)
{
	queue_request_t request = {.team = team,
	    .priority = priority,
	    .cost = cost,
	    .deadline = INT64_MAX,
	    .item = item};

	return queue_push(queue, &request, 0);
}

/* Guards against sharing by number of requests instead of by tokens, and
 * against a team that gets more because it has more waiting requests. */
TEST(teams_share_by_tokens)
{
	g_autoptr(queue_t) queue = queue_create(1000);
	int64_t started[2] = {0};
	queue_item_t item;

	for (int i = 0; i < 400; i++)
		push(queue, "large", 1, 4000, &started[0]);
	for (int i = 0; i < 600; i++)
		push(queue, "small", 1, 500, &started[1]);
	for (int i = 0; i < 300; i++) {
		ck_assert(queue_pop(queue, start_any, NULL, 0, &item));
		*(int64_t *)item.item += item.item == &started[0] ? 4000 : 500;
	}
	ck_assert_int_lt(llabs(started[0] - started[1]), 8000);
}

/* Guards against a team that fills the queue and has others refused. */
TEST(full_queue_evicts_newest_of_largest_team)
{
	g_autoptr(queue_t) queue = queue_create(4);
	int items[6];
	queue_push_result_t result;

	push(queue, "small", 0, 1, &items[0]);
	for (int i = 1; i < 4; i++)
		push(queue, "flood", i % 2, 1, &items[i]);
	result = push(queue, "flood", 0, 1, &items[4]);
	ck_assert_int_eq(result.verdict, QUEUE_FULL);
	result = push(queue, "new", 3, 1, &items[4]);
	ck_assert_int_eq(result.verdict, QUEUE_QUEUED);
	ck_assert_ptr_eq(result.evicted.item, &items[3]);
	ck_assert(!queue_remove(queue, result.evicted.handle, 0));
	/* flood has 2 now and small would have 2: equal, so it is refused. */
	result = push(queue, "small", 0, 1, &items[5]);
	ck_assert_int_eq(result.verdict, QUEUE_FULL);
	ck_assert_uint_eq(queue_length(queue), 4);
}

/* Guards against queueing a request that will miss its deadline, and against a
 * Retry-After that does not follow the drain rate. */
TEST(push_checks_deadline_against_drain_rate)
{
	g_autoptr(queue_t) queue = queue_create(1000);
	queue_request_t request = {
	    .team = "a", .cost = 100, .deadline = INT64_MAX};
	queue_item_t item;
	time_us_t now = 0;

	for (int i = 0; i < 200; i++)
		push(queue, "a", 0, 100, NULL);
	for (int i = 0; i < 100; i++) {
		now += 10 * US_PER_MS;
		ck_assert(queue_pop(queue, start_any, NULL, now, &item));
	}
	/* 100 requests wait and 100 start per second. */
	ck_assert_int_eq(queue_retry_after(queue, now), US_PER_S);
	request.deadline = now + US_PER_S - 1;
	ck_assert_int_eq(queue_push(queue, &request, now).verdict,
	    QUEUE_DEADLINE_UNREACHABLE);
	request.deadline = now + US_PER_S;
	ck_assert_int_eq(
	    queue_push(queue, &request, now).verdict, QUEUE_QUEUED);
	/* A more urgent request does not wait for the others. */
	request.priority = 0;
	request.team = "b";
	ck_assert_int_lt(queue_expected_wait(queue, &request, now), US_PER_S);
}

/* Guards against queueing a request at or past its deadline, which would end
 * only at the next expiry of the queue. */
TEST(passed_deadline_is_refused_at_once)
{
	queue_t *queue = queue_create(10);
	queue_request_t request = {
	    .team = "a", .cost = 1, .deadline = US_PER_S};

	ck_assert_int_eq(queue_push(queue, &request, US_PER_S).verdict,
	    QUEUE_DEADLINE_UNREACHABLE);
	ck_assert_uint_eq(queue_length(queue), 0);
	ck_assert_int_eq(
	    queue_push(queue, &request, US_PER_S - 1).verdict, QUEUE_QUEUED);
	queue_destroy(queue);
}

/* Guards against queueing a request when nothing has started for longer than
 * the time that remains until its deadline. */
TEST(push_checks_deadline_when_nothing_starts)
{
	queue_t *queue = queue_create(10);
	queue_request_t request = {.team = "b", .cost = 1};
	time_us_t now = US_PER_S;

	push(queue, "a", 0, 1, NULL);
	request.deadline = now + US_PER_S - 1;
	ck_assert_int_eq(queue_push(queue, &request, now).verdict,
	    QUEUE_DEADLINE_UNREACHABLE);
	request.deadline = now + US_PER_S;
	ck_assert_int_eq(
	    queue_push(queue, &request, now).verdict, QUEUE_QUEUED);
	queue_destroy(queue);
}

/* Guards against a queue that refuses forever after targets were stalled. */
TEST(queue_accepts_requests_after_stall)
{
	g_autoptr(queue_t) queue = queue_create(10);
	queue_request_t request = {.team = "a", .cost = 1};
	time_us_t now = 60 * US_PER_S;
	queue_item_t item;

	request.deadline = 30 * US_PER_S;
	queue_push(queue, &request, 0);
	ck_assert(queue_expire(queue, now, &item));
	request.deadline = now + US_PER_MS;
	ck_assert_int_eq(
	    queue_push(queue, &request, now).verdict, QUEUE_QUEUED);
}

/* Guards against starting an expired request. */
TEST(expired_request_is_not_started)
{
	g_autoptr(queue_t) queue = queue_create(10);
	queue_request_t request = {.team = "a", .cost = 1, .deadline = 10};
	queue_push_result_t first = queue_push(queue, &request, 0);
	queue_item_t item;

	push(queue, "b", 0, 1, NULL);
	ck_assert_int_eq(queue_next_deadline(queue), 10);
	ck_assert(!queue_pop(queue, start_any, NULL, 10, &item));
	ck_assert(!queue_expire(queue, 9, &item));
	ck_assert(queue_expire(queue, 10, &item));
	ck_assert(item.handle == first.handle);
	ck_assert(!queue_remove(queue, first.handle, 10));
	ck_assert(queue_pop(queue, start_any, NULL, 10, &item));
}

/* Guards against a request that cannot start and blocks other teams, or whose
 * team gains deficit each time it is skipped. */
TEST(skipped_request_blocks_no_other_team)
{
	g_autoptr(queue_t) queue = queue_create(10);
	int items[3];
	queue_item_t item;

	push(queue, "a", 0, 9000, &items[0]);
	push(queue, "b", 0, 5000, &items[1]);
	push(queue, "c", 2, 1, &items[2]);
	ck_assert(queue_pop(queue, start_one, &items[2], 0, &item));
	ck_assert(!queue_pop(queue, start_one, NULL, 0, &item));
	ck_assert(queue_pop(queue, start_one, &items[1], 0, &item));
	ck_assert(queue_pop(queue, start_one, &items[0], 0, &item));
}

typedef struct {
	handle_t handle; /* HANDLE_NONE: no longer queued */
	int team;
	int priority;
	int64_t cost;
	time_us_t deadline;
	uint32_t passed_over; /* consecutive starts of other classes */
	int64_t rounds;	      /* R of the bound in queue.h */
	int64_t started_tokens[N_TEAMS]; /* since the push */
} model_request_t;

typedef struct {
	uint64_t seed;
	uint64_t random;
	time_us_t now;
	queue_t *queue;
	model_request_t model[4000]; /* in order of arrival */
	int n;
	uint32_t passed_over[QUEUE_CLASSES];
} schedule_t;

static void
schedule_end(schedule_t *s, queue_item_t item)
{
	model_request_t *model = item.item;

	SEED_CHECK(s->seed, model->handle == item.handle);
	model->handle = HANDLE_NONE;
}

static bool
model_same_flow(const model_request_t *a, const model_request_t *b)
{
	return a->handle != HANDLE_NONE && a->team == b->team &&
	       a->priority == b->priority;
}

static void
schedule_push(schedule_t *s)
{
	model_request_t *model = &s->model[s->n];
	int64_t flow_tokens;
	queue_push_result_t result;
	queue_request_t request;

	/* Team 0 sends half of all requests. */
	model->team = random_below(&s->random, 2) == 0
			  ? 0
			  : (int)random_below(&s->random, N_TEAMS);
	model->priority = (int)random_below(&s->random, QUEUE_CLASSES);
	model->cost = 1 + random_below(&s->random, COST_LIMIT);
	model->deadline = random_below(&s->random, 2) == 0
			      ? INT64_MAX
			      : s->now + random_below(&s->random, 4000000);
	flow_tokens = model->cost;
	for (int i = 0; i < s->n; i++)
		flow_tokens +=
		    model_same_flow(&s->model[i], model) ? s->model[i].cost : 0;
	model->rounds = (flow_tokens + QUEUE_QUANTUM - 1) / QUEUE_QUANTUM;
	request = (queue_request_t){teams[model->team], model->priority,
	    model->cost, model->deadline, model};
	result = queue_push(s->queue, &request, s->now);
	if (result.evicted.handle != HANDLE_NONE)
		schedule_end(s, result.evicted);
	if (result.verdict == QUEUE_QUEUED) {
		SEED_CHECK(s->seed, result.handle != HANDLE_NONE);
		model->handle = result.handle;
		s->n++;
	}
}

static void
schedule_count_start(schedule_t *s, const model_request_t *started)
{
	bool waiting[QUEUE_CLASSES] = {0};

	for (int i = 0; i < s->n; i++) {
		model_request_t *model = &s->model[i];

		if (model->handle == HANDLE_NONE)
			continue;
		waiting[model->priority] = true;
		if (model->priority == started->priority)
			model->started_tokens[started->team] += started->cost;
	}
	for (int i = 0; i < QUEUE_CLASSES; i++) {
		bool passed_over = waiting[i] && i != started->priority;

		s->passed_over[i] = passed_over ? s->passed_over[i] + 1 : 0;
		SEED_CHECK(s->seed, s->passed_over[i] < QUEUE_CLASS_BOUND);
	}
}

static void
schedule_pop(schedule_t *s)
{
	queue_item_t item;
	const model_request_t *model;

	while (queue_expire(s->queue, s->now, &item)) {
		model = item.item;
		SEED_CHECK(s->seed, model->deadline <= s->now);
		schedule_end(s, item);
	}
	if (!queue_pop(s->queue, start_any, NULL, s->now, &item)) {
		SEED_CHECK(s->seed, queue_length(s->queue) == 0);
		return;
	}
	schedule_end(s, item);
	model = item.item;
	SEED_CHECK(s->seed, model->deadline > s->now);
	for (int i = 0; i < N_TEAMS; i++)
		SEED_CHECK(s->seed,
		    i == model->team ||
			model->started_tokens[i] <=
			    model->rounds * QUEUE_QUANTUM + COST_LIMIT);
	for (const model_request_t *m = s->model; m < model; m++)
		SEED_CHECK(s->seed, !model_same_flow(m, model));
	schedule_count_start(s, model);
}

static void
schedule_remove(schedule_t *s)
{
	model_request_t *model;

	if (s->n == 0)
		return;
	model = &s->model[random_below(&s->random, (uint32_t)s->n)];
	if (model->handle == HANDLE_NONE)
		return;
	SEED_CHECK(s->seed, queue_remove(s->queue, model->handle, s->now));
	SEED_CHECK(s->seed, !queue_remove(s->queue, model->handle, s->now));
	model->handle = HANDLE_NONE;
}

static void
schedule_check(schedule_t *s)
{
	uint32_t by_team[N_TEAMS] = {0};
	uint32_t by_class[QUEUE_CLASSES] = {0};
	uint32_t count = 0;
	int64_t tokens = 0;

	for (int i = 0; i < s->n; i++) {
		if (s->model[i].handle == HANDLE_NONE)
			continue;
		by_team[s->model[i].team]++;
		by_class[s->model[i].priority]++;
		count++;
		tokens += s->model[i].cost;
	}
	SEED_CHECK(s->seed, count <= LIMIT);
	SEED_CHECK(s->seed, queue_length(s->queue) == count);
	SEED_CHECK(s->seed, queue_tokens(s->queue) == tokens);
	for (int i = 0; i < N_TEAMS; i++)
		SEED_CHECK(s->seed,
		    queue_team_length(s->queue, teams[i]) == by_team[i]);
	for (int i = 0; i < QUEUE_CLASSES; i++)
		SEED_CHECK(
		    s->seed, queue_class_length(s->queue, i) == by_class[i]);
}

static void
schedule_run(uint64_t seed)
{
	schedule_t *s = g_new0(schedule_t, 1);

	s->seed = seed;
	s->random = seed;
	s->queue = queue_create(LIMIT);
	for (int step = 0; step < 600; step++) {
		uint32_t action = random_below(&s->random, 20);

		s->now += random_below(&s->random, 100000);
		if (action < 11)
			schedule_push(s);
		else if (action < 19)
			schedule_pop(s);
		else
			schedule_remove(s);
		schedule_check(s);
	}
	while (queue_length(s->queue) > 0)
		schedule_pop(s);
	for (int i = 0; i < s->n; i++)
		SEED_CHECK(seed, s->model[i].handle == HANDLE_NONE);
	queue_destroy(s->queue);
	g_free(s);
}

static queue_decision_t
start_given_item(queue_item_t item, void *context)
{
	return item.item == context ? QUEUE_START : QUEUE_SKIP;
}

/* Guards against a free slot that stays unused because the oldest request of a
 * team cannot use it although a later one could. */
TEST(scan_depth_reaches_later_requests)
{
	queue_t *queue = queue_create(10);
	int items[3];
	queue_request_t request = {
	    .team = "a", .cost = 10, .deadline = US_PER_S};
	queue_item_t item;

	for (int i = 0; i < 3; i++) {
		request.item = &items[i];
		queue_push(queue, &request, 0);
	}
	ck_assert(!queue_pop(queue, start_given_item, &items[2], 0, &item));
	queue_set_scan_depth(queue, 2);
	ck_assert(!queue_pop(queue, start_given_item, &items[2], 0, &item));
	queue_set_scan_depth(queue, 3);
	ck_assert(queue_pop(queue, start_given_item, &items[2], 0, &item));
	ck_assert_ptr_eq(item.item, &items[2]);
	ck_assert_uint_eq(queue_length(queue), 2);
	/* The order of the others is kept. */
	ck_assert(queue_pop(queue, start_given_item, &items[0], 0, &item));
	ck_assert(queue_pop(queue, start_given_item, &items[1], 0, &item));
	queue_destroy(queue);
}

/* Guards against requests that are lost or end twice, wrong counts, and a team
 * or class that waits longer than the bound in queue.h. */
TEST(random_schedules_end_each_request_once)
{
	RANDOM_SCHEDULES(schedule_run);
}

TEST_MAIN("queue")
