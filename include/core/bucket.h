#ifndef CORE_BUCKET_H
#define CORE_BUCKET_H

#include <stdbool.h>
#include <stddef.h>

#include "core/types.h"

/*
 * Token bucket with limits that can change and reservations whose unused part
 * can be returned. Tokens are counted in micro-tokens and rates in micro-tokens
 * a second, so that a part of a team's rate is exact to 1e-6 token.
 */
typedef struct bucket bucket_t;

#define TOKEN_MICRO ((int64_t)1000000)

/* Most events that are kept for replay; see bucket_settle(). */
#define BUCKET_EVENT_LIMIT 1024

/* Names a charge that may still be settled. id 0: none. */
typedef struct {
	uint64_t id;
	int64_t tokens; /* micro-tokens reserved */
} reservation_t;

/* Returns an empty bucket with rate and capacity 0. */
bucket_t *bucket_create(time_us_t now);
void bucket_destroy(bucket_t *bucket);

/* Changes the limits. Tokens above the new capacity are lost. */
void bucket_set_limits(
    bucket_t *bucket, int64_t rate, int64_t capacity, time_us_t now);

/*
 * Takes tokens if the level suffices. Returns false and changes nothing
 * otherwise.
 */
bool bucket_reserve(bucket_t *bucket, int64_t tokens, time_us_t now,
    reservation_t *reservation);

/*
 * Ends a reservation of which used micro-tokens were spent and sets its id to
 * 0, so that a second call does nothing. The level becomes what it would be if
 * only used had been charged at admission: tokens that would have overflowed
 * since then are not returned. Nothing is returned when more than
 * BUCKET_EVENT_LIMIT events have happened since. Returns the micro-tokens that
 * came back.
 */
int64_t bucket_settle(
    bucket_t *bucket, reservation_t *reservation, int64_t used, time_us_t now);

/* Adds tokens that came with a loan, up to the capacity. */
void bucket_add(bucket_t *bucket, int64_t tokens, time_us_t now);

/* Takes at most tokens for a loan. Returns what was taken. */
int64_t bucket_withdraw(bucket_t *bucket, int64_t tokens, time_us_t now);

int64_t bucket_level(bucket_t *bucket, time_us_t now);
int64_t bucket_capacity(const bucket_t *bucket);

/* Returns the number of reservations that are not settled and can return. */
size_t bucket_n_open(const bucket_t *bucket);

/*
 * Returns the earliest time at which the level can reach tokens, or INT64_MAX
 * when it never does with the present limits.
 */
time_us_t bucket_ready_at(bucket_t *bucket, int64_t tokens, time_us_t now);

/*
 * Tells whether less than half of the capacity is left, that is, whether more
 * than the rate has been taken for a while.
 */
bool bucket_is_low(bucket_t *bucket, time_us_t now);

/* Tells whether the bucket is full and has no open reservation. */
bool bucket_is_idle(bucket_t *bucket, time_us_t now);

#endif
