#ifndef BENCH_RANDOM_H
#define BENCH_RANDOM_H

#include <math.h>
#include <stdint.h>

/* SplitMix64. */
static inline uint64_t
random_next(uint64_t *state)
{
	uint64_t z = (*state += 0x9e3779b97f4a7c15u);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
	return z ^ (z >> 31);
}

/* Uniform in (0, 1). */
static inline double
random_unit(uint64_t *state)
{
	return ((double)(random_next(state) >> 11) + 0.5) / 9007199254740992.0;
}

static inline double
random_exponential(uint64_t *state, double mean)
{
	return -log(random_unit(state)) * mean;
}

#endif
