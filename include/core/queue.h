#ifndef CORE_QUEUE_H
#define CORE_QUEUE_H

#include <stdbool.h>
#include <stddef.h>

#include "core/handle.h"
#include "core/types.h"

/*
 * Bounded queue of requests that wait for a target. Use one queue per service,
 * so that a service without free targets blocks no other. Not thread-safe; the
 * caller must hold its lock. Memory is proportional to the number of waiting
 * requests and of teams that have one, not to the number of all teams.
 *
 * Order: strict priority classes with aging; within a class, deficit round
 * robin over teams by token cost. Bound on waiting: a class with a request that
 * can start gets at least one of every QUEUE_CLASS_BOUND started requests.
 * Within its class, a request waits for at most R x QUEUE_QUANTUM + C tokens of
 * each other team, where R = ceil(tokens of its own team up to and including it
 * / QUEUE_QUANTUM) and C is the largest cost.
 */

#define QUEUE_CLASSES 4

/* Tokens added to a team's deficit in each round of its class. */
#define QUEUE_QUANTUM 2048

/* Starts of other classes after which a waiting class is served next. */
#define QUEUE_AGING_TURNS 8

/* Each of the other aged classes can be served once before it. */
#define QUEUE_CLASS_BOUND (QUEUE_AGING_TURNS + QUEUE_CLASSES - 1)

/* The drain rate is averaged over the time with waiting requests. The sums are
 * halved when they cover more than twice this time. */
#define QUEUE_RATE_WINDOW_US (2 * US_PER_S)

/* Bounds of the result of queue_retry_after(). */
#define QUEUE_RETRY_MIN_US (100 * US_PER_MS)
#define QUEUE_RETRY_MAX_US (60 * US_PER_S)

typedef struct {
	const char *team;   /* copied */
	int priority;	    /* 0 (most urgent) to 3; clamped */
	int64_t cost;	    /* tokens, at least 1 */
	time_us_t deadline; /* latest start; INT64_MAX: none */
	void *item;	    /* opaque, returned unchanged */
} queue_request_t;

typedef struct {
	handle_t handle;
	void *item;
} queue_item_t;

typedef enum {
	QUEUE_QUEUED,
	QUEUE_FULL,
	QUEUE_DEADLINE_UNREACHABLE
} queue_push_verdict_t;

typedef struct {
	queue_push_verdict_t verdict;
	handle_t handle;      /* HANDLE_NONE unless queued */
	queue_item_t evicted; /* evicted request, or HANDLE_NONE */
} queue_push_result_t;

typedef enum {
	QUEUE_START,
	QUEUE_SKIP, /* this one can't start; try the next one */
	QUEUE_STOP  /* no request can start now */
} queue_decision_t;

/*
 * Callback that decides whether a waiting request can start. Must not call
 * functions of the queue.
 */
typedef queue_decision_t (*queue_can_start_t)(queue_item_t item, void *context);

typedef struct queue queue_t;

/* limit is the maximum number of waiting requests, at least 1. */
queue_t *queue_create(uint32_t limit);

/*
 * Sets how many of a team's oldest requests queue_pop() tries before it moves
 * on to the next team; 1 by default. More than 1 helps when the request that
 * can start depends on which slot became free, as the oldest request of a team
 * may need a different one.
 */
void queue_set_scan_depth(queue_t *queue, uint32_t depth);

void queue_destroy(queue_t *queue);

/*
 * Adds a request. When the queue is full, the newest request of the team with
 * the most waiting requests is evicted. If the new request's team has, or with
 * the new request would have, as many as that team, nothing is evicted and the
 * result is QUEUE_FULL. Returns QUEUE_DEADLINE_UNREACHABLE when the deadline
 * has passed or, at the current drain rate, would pass before the start.
 */
queue_push_result_t queue_push(
    queue_t *queue, const queue_request_t *request, time_us_t now);

/*
 * Removes the next request that can start. Returns false when there is none,
 * or when the queue holds expired requests: call queue_expire() first.
 */
bool queue_pop(queue_t *queue, queue_can_start_t can_start, void *context,
    time_us_t now, queue_item_t *item);

/*
 * Removes a request, for example one whose caller has disconnected. Returns
 * false when the request is no longer in the queue.
 */
bool queue_remove(queue_t *queue, handle_t handle, time_us_t now);

/* Removes one request whose deadline has passed; call until false. */
bool queue_expire(queue_t *queue, time_us_t now, queue_item_t *item);

/* Earliest deadline of a waiting request, INT64_MAX if there is none. */
time_us_t queue_next_deadline(const queue_t *queue);

/* Expected time to drain the waiting requests, for Retry-After. */
time_us_t queue_retry_after(queue_t *queue, time_us_t now);

/*
 * Expected wait of a request that would be pushed now; 0 while the drain rate
 * is unknown.
 */
time_us_t queue_expected_wait(
    queue_t *queue, const queue_request_t *request, time_us_t now);

uint32_t queue_length(const queue_t *queue);
uint32_t queue_class_length(const queue_t *queue, int priority);
uint32_t queue_team_length(const queue_t *queue, const char *team);

/* Sum of the costs of the waiting requests. */
int64_t queue_tokens(const queue_t *queue);

/* Memory used, in bytes. */
size_t queue_bytes(const queue_t *queue);

#endif
