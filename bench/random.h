#ifndef BENCH_RANDOM_H
#define BENCH_RANDOM_H

#include <math.h>
#include <stdint.h>

#include "core/random.h"

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
