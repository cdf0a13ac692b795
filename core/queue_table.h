#ifndef CORE_QUEUE_TABLE_H
#define CORE_QUEUE_TABLE_H

#include <glib.h>

#include "core/queue.h"

/*
 * Internal tables of queue_t: entries, teams and the deadline heap. These
 * functions maintain the counts; queue.c implements the scheduling order.
 */

#define QUEUE_NIL UINT32_MAX

typedef struct queue_team queue_team_t;

/* Waiting requests of one team in one class, oldest first. */
typedef struct {
	queue_team_t *team;
	GList link; /* in the ring of the class */
	uint32_t head;
	uint32_t tail;
	int64_t tokens;
	int64_t deficit;
	bool has_quantum; /* got its quantum in this round */
} queue_flow_t;

struct queue_team {
	char *name;
	uint32_t count;
	GList link; /* in the list of teams with the same count */
	queue_flow_t flows[QUEUE_CLASSES];
};

typedef struct {
	uint32_t generation;
	uint32_t prev; /* in its flow */
	uint32_t next; /* in its flow, or in the list of free entries */
	uint32_t heap_index;
	int priority;
	int64_t cost;
	time_us_t deadline;
	uint64_t sequence;
	queue_team_t *team; /* NULL: free */
	void *item;
} queue_entry_t;

typedef struct {
	GQueue ring; /* of flows; the head is served next */
	int64_t tokens;
	uint32_t count;
	uint32_t passed_over; /* consecutive starts of other classes */
} queue_class_t;

struct queue {
	uint32_t limit;
	uint32_t depth;
	uint32_t count;
	int64_t tokens;
	uint64_t sequence;
	GArray *entries; /* queue_entry_t */
	uint32_t free_head;
	GArray *heap; /* uint32_t, by deadline */
	GHashTable *teams;
	/* GQueue of teams, indexed by their number of waiting requests. */
	GArray *teams_by_count;
	uint32_t max_count;
	queue_class_t classes[QUEUE_CLASSES];
	/* Drain rate: drained_tokens / waiting_time. */
	int64_t drained_tokens;
	time_us_t waiting_time; /* with at least one waiting request */
	time_us_t updated_at;
};

static inline queue_entry_t *
queue_entry_at(const queue_t *queue, uint32_t index)
{
	return &g_array_index(queue->entries, queue_entry_t, index);
}

/* Returns NULL for a stale handle. */
queue_entry_t *queue_entry_find(const queue_t *queue, handle_t handle);

/* Returns the handle and item of an entry. */
queue_item_t queue_entry_item(const queue_t *queue, uint32_t index);

/* Adds an entry to all tables; returns its index. */
uint32_t queue_entry_add(queue_t *queue, const queue_request_t *request);

/* Removes an entry from all tables and returns its handle and item. */
queue_item_t queue_entry_remove(queue_t *queue, uint32_t index);

/* Returns the team with the most waiting requests, NULL if there is none. */
queue_team_t *queue_team_largest(const queue_t *queue);

/* Returns the index of a team's newest request. */
uint32_t queue_team_newest(const queue_t *queue, const queue_team_t *team);

#endif
