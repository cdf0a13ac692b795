#include "queue_table.h"

#include <string.h>

queue_entry_t *
queue_entry_find(const queue_t *queue, handle_t handle)
{
	queue_entry_t *entry;

	if (handle == HANDLE_NONE ||
	    handle_index(handle) >= queue->entries->len)
		return NULL;
	entry = queue_entry_at(queue, handle_index(handle));
	if (entry->team == NULL ||
	    entry->generation != handle_generation(handle))
		return NULL;
	return entry;
}

queue_item_t
queue_entry_item(const queue_t *queue, uint32_t index)
{
	const queue_entry_t *entry = queue_entry_at(queue, index);

	return (queue_item_t){
	    handle_make(index, entry->generation), entry->item};
}

/* Deadline heap. */

static uint32_t
heap_get(const queue_t *queue, uint32_t position)
{
	return g_array_index(queue->heap, uint32_t, position);
}

static void
heap_set(queue_t *queue, uint32_t position, uint32_t index)
{
	g_array_index(queue->heap, uint32_t, position) = index;
	queue_entry_at(queue, index)->heap_index = position;
}

static time_us_t
heap_deadline(const queue_t *queue, uint32_t position)
{
	return queue_entry_at(queue, heap_get(queue, position))->deadline;
}

static void
heap_swap(queue_t *queue, uint32_t a, uint32_t b)
{
	uint32_t index = heap_get(queue, a);

	heap_set(queue, a, heap_get(queue, b));
	heap_set(queue, b, index);
}

static void
heap_up(queue_t *queue, uint32_t position)
{
	while (position > 0 && heap_deadline(queue, position) <
				   heap_deadline(queue, (position - 1) / 2)) {
		heap_swap(queue, position, (position - 1) / 2);
		position = (position - 1) / 2;
	}
}

static void
heap_down(queue_t *queue, uint32_t position)
{
	for (;;) {
		uint32_t child = 2 * position + 1;

		if (child >= queue->heap->len)
			return;
		if (child + 1 < queue->heap->len &&
		    heap_deadline(queue, child + 1) <
			heap_deadline(queue, child))
			child++;
		if (heap_deadline(queue, position) <=
		    heap_deadline(queue, child))
			return;
		heap_swap(queue, position, child);
		position = child;
	}
}

static void
heap_add(queue_t *queue, uint32_t index)
{
	g_array_append_val(queue->heap, index);
	queue_entry_at(queue, index)->heap_index = queue->heap->len - 1;
	heap_up(queue, queue->heap->len - 1);
}

static void
heap_remove(queue_t *queue, uint32_t position)
{
	uint32_t last = queue->heap->len - 1;

	if (position != last)
		heap_swap(queue, position, last);
	g_array_set_size(queue->heap, last);
	if (position != last) {
		heap_up(queue, position);
		heap_down(queue, position);
	}
}

/* Teams. */

static queue_team_t *
team_get(queue_t *queue, const char *name)
{
	queue_team_t *team = g_hash_table_lookup(queue->teams, name);

	if (team != NULL)
		return team;
	team = g_new0(queue_team_t, 1);
	team->name = g_strdup(name);
	team->link.data = team;
	for (int i = 0; i < QUEUE_CLASSES; i++) {
		team->flows[i].team = team;
		team->flows[i].link.data = &team->flows[i];
		team->flows[i].head = QUEUE_NIL;
		team->flows[i].tail = QUEUE_NIL;
	}
	g_hash_table_insert(queue->teams, team->name, team);
	return team;
}

static GQueue *
teams_with_count(const queue_t *queue, uint32_t count)
{
	return &g_array_index(queue->teams_by_count, GQueue, count);
}

static void
team_set_count(queue_t *queue, queue_team_t *team, uint32_t count)
{
	if (count >= queue->teams_by_count->len)
		g_array_set_size(queue->teams_by_count, count + 1);
	if (team->count > 0)
		g_queue_unlink(
		    teams_with_count(queue, team->count), &team->link);
	team->count = count;
	if (count > 0)
		g_queue_push_tail_link(
		    teams_with_count(queue, count), &team->link);
	queue->max_count = MAX(queue->max_count, count);
	while (queue->max_count > 0 &&
	       teams_with_count(queue, queue->max_count)->length == 0)
		queue->max_count--;
	if (count == 0)
		g_hash_table_remove(queue->teams, team->name);
}

queue_team_t *
queue_team_largest(const queue_t *queue)
{
	if (queue->max_count == 0)
		return NULL;
	return teams_with_count(queue, queue->max_count)->head->data;
}

uint32_t
queue_team_newest(const queue_t *queue, const queue_team_t *team)
{
	uint32_t newest = QUEUE_NIL;

	for (int i = 0; i < QUEUE_CLASSES; i++) {
		uint32_t tail = team->flows[i].tail;

		if (tail == QUEUE_NIL)
			continue;
		if (newest == QUEUE_NIL ||
		    queue_entry_at(queue, tail)->sequence >
			queue_entry_at(queue, newest)->sequence)
			newest = tail;
	}
	return newest;
}

/* Flows. */

static void
flow_append(queue_t *queue, queue_flow_t *flow, uint32_t index)
{
	queue_entry_t *entry = queue_entry_at(queue, index);
	queue_class_t *class = &queue->classes[entry->priority];

	entry->prev = flow->tail;
	entry->next = QUEUE_NIL;
	if (flow->tail == QUEUE_NIL) {
		flow->head = index;
		g_queue_push_tail_link(&class->ring, &flow->link);
	} else {
		queue_entry_at(queue, flow->tail)->next = index;
	}
	flow->tail = index;
	flow->tokens += entry->cost;
	class->tokens += entry->cost;
	class->count++;
}

static void
flow_remove(queue_t *queue, queue_flow_t *flow, uint32_t index)
{
	queue_entry_t *entry = queue_entry_at(queue, index);
	queue_class_t *class = &queue->classes[entry->priority];

	if (entry->prev == QUEUE_NIL)
		flow->head = entry->next;
	else
		queue_entry_at(queue, entry->prev)->next = entry->next;
	if (entry->next == QUEUE_NIL)
		flow->tail = entry->prev;
	else
		queue_entry_at(queue, entry->next)->prev = entry->prev;
	flow->tokens -= entry->cost;
	class->tokens -= entry->cost;
	class->count--;
	if (flow->head != QUEUE_NIL)
		return;
	/* An empty flow loses its deficit, as usual in deficit round robin. */
	g_queue_unlink(&class->ring, &flow->link);
	flow->deficit = 0;
	flow->has_quantum = false;
}

/* Entries. */

static uint32_t
entry_alloc(queue_t *queue)
{
	uint32_t index = queue->free_head;

	if (index == QUEUE_NIL) {
		index = queue->entries->len;
		g_array_set_size(queue->entries, index + 1);
	} else {
		queue->free_head = queue_entry_at(queue, index)->next;
	}
	return index;
}

uint32_t
queue_entry_add(queue_t *queue, const queue_request_t *request)
{
	uint32_t index = entry_alloc(queue);
	queue_entry_t *entry = queue_entry_at(queue, index);

	entry->generation = generation_next(entry->generation);
	entry->priority = CLAMP(request->priority, 0, QUEUE_CLASSES - 1);
	entry->cost = MAX(request->cost, 1);
	entry->deadline = request->deadline;
	entry->sequence = queue->sequence++;
	entry->item = request->item;
	entry->team = team_get(queue, request->team);
	flow_append(queue, &entry->team->flows[entry->priority], index);
	heap_add(queue, index);
	queue->count++;
	queue->tokens += entry->cost;
	team_set_count(queue, entry->team, entry->team->count + 1);
	return index;
}

queue_item_t
queue_entry_remove(queue_t *queue, uint32_t index)
{
	queue_item_t item = queue_entry_item(queue, index);
	queue_entry_t *entry = queue_entry_at(queue, index);
	queue_team_t *team = entry->team;

	flow_remove(queue, &team->flows[entry->priority], index);
	heap_remove(queue, entry->heap_index);
	queue->count--;
	queue->tokens -= entry->cost;
	entry->team = NULL;
	entry->item = NULL;
	entry->next = queue->free_head;
	queue->free_head = index;
	team_set_count(queue, team, team->count - 1);
	return item;
}
