#include <stdio.h>

#include "share_world.h"
#include "test.h"

/*
 * Requests refused although the team stays within its rate: no faults but the
 * one named, 0.01 s steps, 80 ms between regions. A request is tried again at
 * each step and refused after 0.5 s. The team has 1000 tokens/s and 2000 burst;
 * requests cost 1 to 40 tokens.
 */

typedef enum { LOAD_EVEN, LOAD_ONE, LOAD_CUT, LOAD_LOST } load_t;

typedef struct {
	int process;
	int64_t tokens;
	time_us_t since;
} waiting_t;

#define STEP (10 * US_PER_MS)
#define WARM_S 40
#define MEASURED_S 60

static int
load_target(world_t *w, load_t load, int lost)
{
	int process = 1;

	if (load == LOAD_ONE)
		return process;
	do
		process = g_rand_int_range(w->rand, 0, w->n_processes);
	while (process == lost);
	return process;
}

static void
arrivals_add(world_t *w, GArray *waiting, load_t load, double use, int lost)
{
	/* 20.5 tokens on average. */
	double each = use * 1000 * STEP / US_PER_S / 20.5;

	if (g_rand_double(w->rand) < each) {
		waiting_t request = {load_target(w, load, lost),
		    g_rand_int_range(w->rand, 1, 41), w->now};

		g_array_append_val(waiting, request);
	}
}

static bool
request_is_over(world_t *w, waiting_t *request, int *refused)
{
	process_t *p = &w->processes[request->process];
	allotment_result_t result;

	if (!p->alive)
		return true;
	result = allotment_reserve(p->a, "t0", request->tokens,
	    request->since == w->now, process_clock(w, p));
	if (result.verdict == ALLOTMENT_ADMITTED)
		return true;
	if (w->now - request->since < 500 * US_PER_MS)
		return false;
	(*refused)++;
	return true;
}

/* Returns the part of the requests that is refused, in percent. */
static double
load_run(load_t load, double use)
{
	world_knobs_t knobs = {.step = STEP,
	    .zone_beat = US_PER_S,
	    .other_beat = 5 * US_PER_S,
	    .region_delay = 80 * US_PER_MS};
	world_t *w = world_create(7, knobs);
	GArray *waiting = g_array_new(FALSE, FALSE, sizeof(waiting_t));
	int refused = 0, arrived = 0, lost = -1;

	for (int s = 0; s < (WARM_S + MEASURED_S) * 100; s++) {
		guint before = waiting->len;

		if (s == WARM_S * 100) {
			refused = arrived = 0;
			if (load == LOAD_CUT) {
				w->cut_zones = 4;
				w->cut_until = INT64_MAX;
			}
			if (load == LOAD_LOST) {
				lost = 2;
				world_lose(w, lost, 10 * US_PER_S);
			}
		}
		world_step(w);
		/* Instances hold shares after about 20 s. */
		if (s >= 2500)
			arrivals_add(w, waiting, load, use, lost);
		arrived += (int)(waiting->len - before);
		for (guint i = waiting->len; i > 0; i--) {
			if (request_is_over(w,
				&g_array_index(waiting, waiting_t, i - 1),
				&refused))
				g_array_remove_index(waiting, i - 1);
		}
		for (int i = 0; i < w->n_processes; i++) {
			if (w->processes[i].alive)
				world_borrow(w, i, 0);
		}
	}
	g_array_free(waiting, TRUE);
	world_destroy(w);
	return arrived == 0 ? 100 : 100.0 * refused / arrived;
}

/* Guards against wrongful refusals above the goal of 1% in steady skewed
 * load. The other figures are printed only. */
TEST(refusals_within_rate)
{
	static const char *const names[] = {
	    "even", "one instance", "one zone cut", "one instance lost"};
	double skewed = 0;

	for (int load = LOAD_EVEN; load <= LOAD_LOST; load++) {
		double low = load_run((load_t)load, 0.8);
		double high = load_run((load_t)load, 0.9);

		printf("%-18s refused at 80%% of the rate %.2f%%, at 90%% "
		       "%.2f%%\n",
		    names[load], low, high);
		if (load <= LOAD_ONE)
			skewed = MAX(skewed, low);
	}
	ck_assert_msg(skewed < 1, "%.2f%% refused", skewed);
}

TEST_MAIN("share_load")
