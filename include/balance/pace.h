#ifndef BALANCE_PACE_H
#define BALANCE_PACE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/types.h"

/*
 * How fast the engines of a service work, learnt from their answers.
 *
 * Load pattern: targets of one service that differ in speed by a factor of two,
 * on machines shared with others that slow them for some hundred milliseconds,
 * and dozens of instances each of which hears of one target every few seconds.
 *
 * The time to the first token is taken as first_ms + token_ms x tokens to be
 * prefilled: a line fitted to the answers of all targets of the service. A
 * target's slowness is its ratio to that line. Its momentary pace is what it
 * states itself and holds for some hundred milliseconds. Instances of a region
 * tell each other each observation once, so that a target's slowness is known
 * everywhere after a few answers to anyone. A lost message costs its
 * observations only.
 */

/* Time constant with which a stated pace fades towards the usual one. */
#define PACE_STATED_TAU_US (300 * US_PER_MS)

/* Range of a stated pace, as a factor on the time; others are malformed. */
#define PACE_STATED_MIN 0.05
#define PACE_STATED_MAX_PERCENT 1000
#define PACE_STATED_MAX (PACE_STATED_MAX_PERCENT / 100.0)

/* Range of a target's slowness. */
#define PACE_SLOWNESS_MIN 0.25
#define PACE_SLOWNESS_MAX 12.0

/* Line that is assumed until there are answers. */
#define PACE_INITIAL_FIRST_MS 35.0
#define PACE_INITIAL_TOKEN_MS (1.0 / 90)

/* Time to the first token of the engines of one service at their usual pace. */
typedef struct {
	double first_ms;       /* without prefill */
	double token_ms;       /* for each token to be prefilled */
	double request_tokens; /* of one request, on average */
	/* Sums over the observations, each weighted by its age. */
	double n;
	double tokens;
	double ms;
	double tokens_tokens;
	double tokens_ms;
} pace_model_t;

void pace_model_init(pace_model_t *model);

/* Expected time in ms to the first token at the usual pace. */
double pace_model_ms(const pace_model_t *model, double tokens);

/* Records the tokens to be prefilled of a request that is sent. */
void pace_model_note_request(pace_model_t *model, double tokens);

/*
 * Requests that a target whose expected time to the first token is expected_ms
 * can take within_ms from now, so that it stays below limit_ms. factor: as
 * pace_factor() tells.
 */
double pace_model_room(const pace_model_t *model, double factor,
    double expected_ms, double limit_ms, double within_ms);

/*
 * Fits the model to one more observation: ms to the first token, at the usual
 * pace of its target, after so many tokens. One that is many times off moves
 * the model by a limited amount.
 */
void pace_model_learn(pace_model_t *model, double tokens, double ms);

/* What is known of one target. */
typedef struct {
	double slowness;     /* observed over expected time; 1: as the model */
	uint32_t n_observed; /* saturates */
	double stated;	     /* factor on the time; 1: as usual */
	time_us_t stated_at; /* 0: never */
} pace_t;

void pace_init(pace_t *pace);

/*
 * Records the momentary pace that the target stated. Returns false, and changes
 * nothing, unless the factor is between PACE_STATED_MIN and PACE_STATED_MAX.
 */
bool pace_note_stated(pace_t *pace, double factor, time_us_t now);

/* The momentary factor at this time. */
double pace_stated(const pace_t *pace, time_us_t now);

/* Factor on the model's time at this time: slowness and momentary pace. */
double pace_factor(const pace_t *pace, time_us_t now);

/*
 * Records the ratio of an observed time, at the usual pace of the target, to
 * the model's.
 */
void pace_learn(pace_t *pace, double ratio);

/* One answer of a target, as instances tell it to each other. */
typedef struct {
	uint32_t target; /* target_short_id() */
	uint32_t tokens; /* to be prefilled until the first token */
	uint32_t ms;	 /* to the first token; 0: only stated is known */
	uint32_t stated; /* factor in percent; 0: not stated */
} pace_observation_t;

/* Largest values that are told; an observation beyond them is not. */
#define PACE_TOLD_TOKENS_MAX 32760
#define PACE_TOLD_MS_MAX 4095

/* Observations to be told to others. The oldest are dropped when it is full. */
typedef struct pace_log pace_log_t;

pace_log_t *pace_log_create(size_t limit);
void pace_log_destroy(pace_log_t *log);
void pace_log_add(pace_log_t *log, const pace_observation_t *observation);

/*
 * Takes out the newest, at most limit. Adds the number of those that were
 * dropped since the last call to n_dropped.
 */
size_t pace_log_take(pace_log_t *log, pace_observation_t *observations,
    size_t limit, size_t *n_dropped);

#endif
