#ifndef TESTS_SCHEDULE_H
#define TESTS_SCHEDULE_H

#include <check.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include "core/random.h"

/*
 * Random schedules on a virtual clock. A schedule depends on its seed only, so
 * TEST_SEED=n in the environment replays a failure.
 */
typedef struct {
	uint64_t state;
} rng_t;

static inline uint64_t
rng_next(rng_t *rng)
{
	return random_next(&rng->state);
}

static inline int64_t
rng_below(rng_t *rng, int64_t limit)
{
	return (int64_t)(rng_next(rng) % (uint64_t)limit);
}

static inline bool
rng_chance(rng_t *rng, int one_in)
{
	return rng_below(rng, one_in) == 0;
}

/* Runs a schedule. Returns the violated invariant, or NULL. */
typedef const char *(*schedule_t)(uint64_t seed, int fault);

/* Runs seeds 1..count. Returns how many violated an invariant. */
static inline int
schedule_run(const char *name, schedule_t schedule, int count, int fault)
{
	const char *only = getenv("TEST_SEED");
	uint64_t first = only ? strtoull(only, NULL, 10) : 1;
	uint64_t last = only ? first : (uint64_t)count;
	int violations = 0;

	for (uint64_t seed = first; seed <= last; seed++) {
		const char *violation = schedule(seed, fault);

		if (violation == NULL)
			continue;
		violations++;
		if (fault == 0)
			fprintf(stderr, "%s: TEST_SEED=%ju: %s\n", name,
			    (uintmax_t)seed, violation);
	}
	return violations;
}

/*
 * Checks that no schedule violates an invariant. Also checks that each of the
 * faults 1..n_faults leads to a violation, which proves that the schedules can
 * detect it.
 */
static inline void
schedule_check(const char *name, schedule_t schedule, int count, int n_faults)
{
	ck_assert_int_eq(schedule_run(name, schedule, count, 0), 0);
	for (int fault = 1; getenv("TEST_SEED") == NULL && fault <= n_faults;
	     fault++)
		ck_assert_msg(schedule_run(name, schedule, 500, fault) > 0,
		    "fault %d was not detected", fault);
}

#endif
