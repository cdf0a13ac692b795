#ifndef BENCH_SETUP_H
#define BENCH_SETUP_H

#include "model.h"

/* What the experiments have in common. */

#define SETUP_TEAMS 8

/* A team's rate limit, as a multiple of what it usually sends. */
#define SETUP_LIMIT_FACTOR 1.25

/* Settings of a run with rate requests a second over all teams. */
model_settings_t setup_settings(uint64_t seed, double rate);

/* Requests a second that the model sustains; measured once. */
double setup_capacity(uint64_t seed);

/* Sum over the teams, beginning with team from. */
uint64_t setup_sum(const uint64_t *values, int from);

/* Part of the whole in percent. */
double setup_share(uint64_t part, uint64_t whole);

#endif
