#ifndef TESTS_RANDOM_H
#define TESTS_RANDOM_H

#include <check.h>
#include <stdint.h>
#include <stdlib.h>

#include "core/random.h"

/*
 * Random schedules. Runs seeds 1..RANDOM_RUNS, or only seed n with TEST_SEED=n
 * in the environment, which replays the failure that printed this seed.
 */
#define RANDOM_RUNS 200

#define RANDOM_SCHEDULES(run)                                      \
	do {                                                       \
		const char *text_ = getenv("TEST_SEED");           \
		uint64_t seed_ = 1;                                \
		uint64_t last_ = RANDOM_RUNS;                      \
		if (text_ != NULL)                                 \
			seed_ = last_ = strtoull(text_, NULL, 10); \
		for (; seed_ <= last_; seed_++)                    \
			(run)(seed_);                              \
	} while (0)

/*
 * Check that prints the seed of the schedule when it fails. Passing checks
 * bypass the check library, which writes a message for each of its checks.
 */
#define SEED_CHECK(seed, condition)                             \
	do {                                                    \
		if (!(condition))                               \
			ck_abort_msg("TEST_SEED=%lu: %s",       \
			    (unsigned long)(seed), #condition); \
	} while (0)

static inline uint32_t
random_below(uint64_t *state, uint32_t limit)
{
	return (uint32_t)(random_next(state) >> 32) % limit;
}

#endif
