#ifndef CORE_BUCKET_H
#define CORE_BUCKET_H

#include <stdbool.h>
#include <stddef.h>

#include "core/types.h"

/*
 * Token bucket whose limits can change and whose reservations can return their
 * unused tokens. Tokens are counted in micro-tokens and rates in micro-tokens a
 * second, so that a share of a team's rate is exact to 1e-6 token.
 */
typedef struct bucket bucket_t;

#define TOKEN_MICRO ((int64_t)1000000)

/* Maximum number of events kept for replay; see bucket_settle(). */
#define BUCKET_EVENT_LIMIT 1024

/* Identifies a charge that can still be settled. id 0: none. */
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
 * Withdraws the tokens and returns true if the level suffices. Otherwise
 * returns false and changes nothing.
 */
bool bucket_reserve(bucket_t *bucket, int64_t tokens, time_us_t now,
    reservation_t *reservation);

/*
 * Settles a reservation of which used micro-tokens were spent. Sets its id to
 * 0, so that a second call does nothing. The level becomes what it would be if
 * only used had been charged at admission: tokens that would have overflowed
 * since then are not returned. Nothing is returned when more than
 * BUCKET_EVENT_LIMIT events have been recorded since. Returns the number of
 * micro-tokens returned to the bucket.
 */
int64_t bucket_settle(
    bucket_t *bucket, reservation_t *reservation, int64_t used, time_us_t now);

/* Adds the tokens of a borrowed loan, up to the capacity. */
void bucket_add(bucket_t *bucket, int64_t tokens, time_us_t now);

/* Withdraws up to tokens for a loan. Returns the number withdrawn. */
int64_t bucket_withdraw(bucket_t *bucket, int64_t tokens, time_us_t now);

int64_t bucket_level(bucket_t *bucket, time_us_t now);
int64_t bucket_capacity(const bucket_t *bucket);

/* Returns the number of reservations that can still be settled. */
size_t bucket_n_open(const bucket_t *bucket);

/*
 * Returns the earliest time at which the level can reach tokens, or INT64_MAX
 * when it never can under the current limits.
 */
time_us_t bucket_ready_at(bucket_t *bucket, int64_t tokens, time_us_t now);

/*
 * Returns whether less than half of the capacity is left, a sign that tokens
 * were spent faster than the rate. Also true of a bucket that was created empty
 * or has lent its tokens.
 */
bool bucket_is_low(bucket_t *bucket, time_us_t now);

/* Returns whether the bucket is full and has no open reservation. */
bool bucket_is_idle(bucket_t *bucket, time_us_t now);

#endif
