#ifndef TESTS_RANDOM_H
#define TESTS_RANDOM_H

#include <check.h>
#include <stdint.h>
#include <stdlib.h>

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

/* SplitMix64. */
static inline uint64_t
random_next(uint64_t *state)
{
	uint64_t z = (*state += 0x9e3779b97f4a7c15u);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
	return z ^ (z >> 31);
}

static inline uint32_t
random_below(uint64_t *state, uint32_t limit)
{
	return (uint32_t)(random_next(state) >> 32) % limit;
}

#endif
