#ifndef TESTS_RANDOM_H
#define TESTS_RANDOM_H

#include <check.h>
#include <stdint.h>
#include <stdlib.h>

#include "core/random.h"

/*
 * Random schedules. TEST_SEED=n replays the one schedule whose failure printed
 * that seed; otherwise seeds 1..RANDOM_RUNS are run.
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
 * A check that prints the seed of the schedule when it fails. Passing checks
 * bypass the check library, which writes a message for each of them.
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
