#ifndef CORE_QUEUE_H
#define CORE_QUEUE_H

#include <stdbool.h>
#include <stddef.h>

#include "core/handle.h"
#include "core/types.h"

/*
 * Bounded queue of requests that wait for a target. Use one queue for each
 * service, so that a service without free targets holds up no other. Not safe
 * for concurrent use; the caller holds its lock. Memory follows the number of
 * waiting requests and of teams that have one, not the number of all teams.
 *
 * Order: strict priority classes; within a class deficit round robin over
 * teams by token cost. Bound on waiting: a class with a request that may start
 * gets at least one of each QUEUE_CLASS_BOUND started requests. Within its
 * class a request waits for at most, from each other team, R x QUEUE_QUANTUM
 * + C tokens, where R = ceil(tokens of its own team up to and including it /
 * QUEUE_QUANTUM) and C is the largest cost.
 */

#define QUEUE_CLASSES 4

/* Tokens that a team may start in one round of its class. */
#define QUEUE_QUANTUM 2048

/* A class that was passed over this often comes next. */
#define QUEUE_AGING_TURNS 8

/* The other aged classes can each come once before it. */
#define QUEUE_CLASS_BOUND (QUEUE_AGING_TURNS + QUEUE_CLASSES - 1)

/* Time over which the drain rate is measured. */
#define QUEUE_RATE_WINDOW_US (2 * US_PER_S)

/* Bounds of queue_retry_after. */
#define QUEUE_RETRY_MIN_US (100 * US_PER_MS)
#define QUEUE_RETRY_MAX_US (60 * US_PER_S)

typedef struct {
	const char *team;   /* copied */
	int priority;	    /* 0 most urgent .. 3; others are clamped */
	int64_t cost;	    /* tokens, at least 1 */
	time_us_t deadline; /* latest start; INT64_MAX: none */
	void *item;	    /* the caller's, given back unchanged */
} queue_request_t;

typedef struct {
	handle_t handle;
	void *item;
} queue_item_t;

typedef enum {
	QUEUE_QUEUED,
	QUEUE_FULL,
	QUEUE_DEADLINE_UNREACHABLE
} queue_verdict_t;

typedef struct {
	queue_verdict_t verdict;
	handle_t handle;      /* HANDLE_NONE unless queued */
	queue_item_t evicted; /* ended to make room; handle may be NONE */
} queue_push_t;

typedef enum {
	QUEUE_START,
	QUEUE_SKIP, /* not this one; ask for another team's */
	QUEUE_STOP  /* none can start now */
} queue_answer_t;

/* Says whether a waiting request can start. Must not call the queue. */
typedef queue_answer_t (*queue_can_start_t)(queue_item_t item, void *context);

typedef struct queue queue_t;

/* limit is the number of waiting requests, at least 1. */
queue_t *queue_create(uint32_t limit);

/*
 * Asks for up to depth waiting requests of a team in turn, and starts the first
 * that can; 1 unless set. Load pattern: which request can start depends on the
 * place that got free, and the oldest one of a team may wait for another.
 */
void queue_set_depth(queue_t *queue, uint32_t depth);

void queue_destroy(queue_t *queue);

/*
 * Adds a request. When the queue is full, the newest request of the team that
 * holds most is evicted, unless that is the newcomer's own team or would be
 * with the newcomer; then the newcomer gets QUEUE_FULL. The request is refused
 * with QUEUE_DEADLINE_UNREACHABLE when the drain rate shows that it cannot
 * start in time.
 */
queue_push_t queue_push(
    queue_t *queue, const queue_request_t *request, time_us_t now);

/*
 * Takes out the next request that can start. Returns false when there is none,
 * and while expired requests wait to be collected: call queue_expire first.
 */
bool queue_pop(queue_t *queue, queue_can_start_t can_start, void *context,
    time_us_t now, queue_item_t *item);

/* Takes out a request, for example of a caller that is gone. Returns false for
 * a handle that has already ended. */
bool queue_remove(queue_t *queue, handle_t handle, time_us_t now);

/* Takes out one request whose deadline has passed; call until false. */
bool queue_expire(queue_t *queue, time_us_t now, queue_item_t *item);

/* Earliest deadline of a waiting request, INT64_MAX when none. */
time_us_t queue_next_deadline(const queue_t *queue);

/* Time until the requests that wait now have drained, for Retry-After. */
time_us_t queue_retry_after(queue_t *queue, time_us_t now);

/* Expected wait of a request that would be pushed now; 0 while the drain rate
 * is not known. */
time_us_t queue_expected_wait(
    queue_t *queue, const queue_request_t *request, time_us_t now);

uint32_t queue_length(const queue_t *queue);
uint32_t queue_class_length(const queue_t *queue, int priority);
uint32_t queue_team_length(const queue_t *queue, const char *team);

/* Sum of the costs of the waiting requests. */
int64_t queue_tokens(const queue_t *queue);

/* Bytes of state. */
size_t queue_bytes(const queue_t *queue);

#endif
