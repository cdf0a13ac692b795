#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "gate_world.h"
#include "schedule.h"
#include "test.h"

#if defined(__SANITIZE_ADDRESS__)
#define N_SCHEDULES 60
#else
#define N_SCHEDULES 500
#endif
#define N_FAULT_SCHEDULES 400

static uint64_t
number_from_env(const char *variable, uint64_t fallback)
{
	const char *text = getenv(variable);

	return text == NULL ? fallback : strtoull(text, NULL, 10);
}

/*
 * Guards against requests that end twice or never, are sent with withdrawn keys
 * or outside the home region, or are forwarded twice; against orders that run
 * twice, false "not run" statements, targets with more requests than slots,
 * tokens above the rate, and bodies that are sent again after two lost targets.
 */
TEST(invariants_hold_in_random_schedules)
{
	uint64_t n = number_from_env("TEST_SCHEDULES", N_SCHEDULES);
	uint64_t first = number_from_env("TEST_SLICE", 0) * n + 1;
	int failed = 0;

	world_strict_slots = getenv("TEST_STRICT_SLOTS") != NULL;
	if (getenv("TEST_SEED") != NULL) {
		first = number_from_env("TEST_SEED", 1);
		n = 1;
	}
	for (uint64_t seed = first; seed < first + n && failed < 8; seed++) {
		const char *what = world_schedule(seed, FAULT_NONE);

		if (what == NULL)
			continue;
		failed++;
		printf("TEST_SEED=%ju: %s\n", (uintmax_t)seed, what);
	}
	printf("requests %ju, orders %ju, sends %ju, forwards %ju, refusals "
	       "%ju, replays %ju, done %ju, kills %ju, loans %ju, withdrawn "
	       "%ju, poison sends %ju\n",
	    (uintmax_t)world_totals.requests, (uintmax_t)world_totals.orders,
	    (uintmax_t)world_totals.sends, (uintmax_t)world_totals.forwards,
	    (uintmax_t)world_totals.refusals, (uintmax_t)world_totals.replays,
	    (uintmax_t)world_totals.done, (uintmax_t)world_totals.kills,
	    (uintmax_t)world_totals.loans, (uintmax_t)world_totals.withdrawn,
	    (uintmax_t)world_totals.poison_sends);
	ck_assert_int_eq(failed, 0);
	/* A simulation that serves nothing would pass the checks as well. */
	ck_assert(n < 10 || world_totals.done * 4 > world_totals.requests);
}

/* Guards against checks that can't fail: each injected fault is detected. */
TEST(checks_detect_injected_faults)
{
	if (number_from_env("TEST_SLICE", 0) > 0 || getenv("TEST_SEED") != NULL)
		return;
	for (int fault = 1; fault < FAULT_COUNT; fault++) {
		const char *symptom = world_fault_symptom(fault);
		uint64_t seed = 1;

		for (; seed <= N_FAULT_SCHEDULES; seed++) {
			const char *what = world_schedule(seed, fault);

			if (what != NULL && g_str_has_prefix(what, symptom))
				break;
		}
		printf("fault %d (%s) detected in schedule %ju\n", fault,
		    symptom, (uintmax_t)seed);
		ck_assert_msg(seed <= N_FAULT_SCHEDULES,
		    "fault %d (%s) is not detected", fault, symptom);
	}
}

TEST_MAIN("gate")
