#include "core/queue.h"

#include "queue_table.h"

/* Minimum time with waiting requests for a usable drain rate. */
#define RATE_MIN_US (200 * US_PER_MS)

static void
team_free(gpointer data)
{
	queue_team_t *team = data;

	g_free(team->name);
	g_free(team);
}

queue_t *
queue_create(uint32_t limit)
{
	queue_t *queue = g_new0(queue_t, 1);

	queue->limit = MAX(limit, 1);
	queue->depth = 1;
	queue->entries = g_array_new(FALSE, TRUE, sizeof(queue_entry_t));
	queue->free_head = QUEUE_NIL;
	queue->heap = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	queue->teams =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, team_free);
	queue->teams_by_count = g_array_new(FALSE, TRUE, sizeof(GQueue));
	return queue;
}

void
queue_set_scan_depth(queue_t *queue, uint32_t depth)
{
	queue->depth = MAX(depth, 1);
}

void
queue_destroy(queue_t *queue)
{
	if (queue == NULL)
		return;
	g_array_free(queue->entries, TRUE);
	g_array_free(queue->heap, TRUE);
	g_hash_table_destroy(queue->teams);
	g_array_free(queue->teams_by_count, TRUE);
	g_free(queue);
}

/* Drain rate. */

/* Adds the time with waiting requests until now; call before each change. */
static void
drain_rate_update(queue_t *queue, time_us_t now)
{
	if (queue->count > 0 && now > queue->updated_at)
		queue->waiting_time += now - queue->updated_at;
	queue->updated_at = now;
	while (queue->waiting_time > 2 * QUEUE_RATE_WINDOW_US) {
		queue->waiting_time /= 2;
		queue->drained_tokens /= 2;
	}
}

/*
 * Expected time to drain the tokens; 0 while the rate is unknown. If nothing
 * has started yet, the wait is assumed to be as long as the past waiting time.
 */
static time_us_t
drain_time(const queue_t *queue, int64_t tokens)
{
	if (queue->waiting_time < RATE_MIN_US || tokens == 0)
		return 0;
	if (queue->drained_tokens == 0)
		return MIN(queue->waiting_time, QUEUE_RETRY_MAX_US);
	return (time_us_t)((double)tokens * (double)queue->waiting_time /
			   (double)queue->drained_tokens);
}

/* Estimated tokens that start before the new request. */
static int64_t
tokens_ahead(const queue_t *queue, const queue_request_t *request)
{
	int priority = CLAMP(request->priority, 0, QUEUE_CLASSES - 1);
	const queue_class_t *class = &queue->classes[priority];
	const queue_team_t *team =
	    g_hash_table_lookup(queue->teams, request->team);
	int64_t own_tokens = team == NULL ? 0 : team->flows[priority].tokens;
	int64_t other_teams = class->ring.length - (own_tokens > 0 ? 1 : 0);
	int64_t ahead =
	    own_tokens +
	    other_teams * MAX(own_tokens + request->cost, QUEUE_QUANTUM);

	ahead = MIN(ahead, class->tokens);
	for (int i = 0; i < priority; i++)
		ahead += queue->classes[i].tokens;
	return ahead;
}

time_us_t
queue_expected_wait(
    queue_t *queue, const queue_request_t *request, time_us_t now)
{
	drain_rate_update(queue, now);
	return drain_time(queue, tokens_ahead(queue, request));
}

time_us_t
queue_retry_after(queue_t *queue, time_us_t now)
{
	drain_rate_update(queue, now);
	return CLAMP(drain_time(queue, queue->tokens), QUEUE_RETRY_MIN_US,
	    QUEUE_RETRY_MAX_US);
}

/* Push and removal. */

/*
 * Whether the new request's team would still have fewer waiting requests than
 * the largest team.
 */
static bool
eviction_allowed(const queue_t *queue, const queue_request_t *request)
{
	return queue_team_largest(queue)->count >
	       queue_team_length(queue, request->team) + 1;
}

queue_push_result_t
queue_push(queue_t *queue, const queue_request_t *request, time_us_t now)
{
	queue_push_result_t result = {.verdict = QUEUE_QUEUED};
	uint32_t index;

	if (now >= request->deadline || queue_expected_wait(queue, request,
					    now) > request->deadline - now) {
		result.verdict = QUEUE_DEADLINE_UNREACHABLE;
		return result;
	}
	drain_rate_update(queue, now);
	if (queue->count >= queue->limit) {
		if (!eviction_allowed(queue, request)) {
			result.verdict = QUEUE_FULL;
			return result;
		}
		index = queue_team_newest(queue, queue_team_largest(queue));
		result.evicted = queue_entry_remove(queue, index);
	}
	index = queue_entry_add(queue, request);
	result.handle = queue_entry_item(queue, index).handle;
	return result;
}

bool
queue_remove(queue_t *queue, handle_t handle, time_us_t now)
{
	if (queue_entry_find(queue, handle) == NULL)
		return false;
	drain_rate_update(queue, now);
	queue_entry_remove(queue, handle_index(handle));
	return true;
}

time_us_t
queue_next_deadline(const queue_t *queue)
{
	uint32_t first;

	if (queue->heap->len == 0)
		return INT64_MAX;
	first = g_array_index(queue->heap, uint32_t, 0);
	return queue_entry_at(queue, first)->deadline;
}

bool
queue_expire(queue_t *queue, time_us_t now, queue_item_t *item)
{
	if (queue_next_deadline(queue) > now || queue->count == 0)
		return false;
	drain_rate_update(queue, now);
	*item =
	    queue_entry_remove(queue, g_array_index(queue->heap, uint32_t, 0));
	return true;
}

/* Scheduling. */

static void
flow_move_to_tail(queue_class_t *class, queue_flow_t *flow)
{
	g_queue_unlink(&class->ring, &flow->link);
	g_queue_push_tail_link(&class->ring, &flow->link);
	flow->has_quantum = false;
}

/* Whether the flow's deficit covers the cost of the request. */
static bool
flow_can_afford(const queue_t *queue, const queue_flow_t *flow, uint32_t index)
{
	return queue_entry_at(queue, index)->cost <= flow->deficit;
}

static queue_item_t
flow_start(
    queue_t *queue, queue_class_t *class, queue_flow_t *flow, uint32_t index)
{
	int64_t cost = queue_entry_at(queue, index)->cost;
	bool last = flow->head == flow->tail;
	queue_item_t item;

	flow->deficit -= cost;
	queue->drained_tokens += cost;
	/* Removing the last request of a flow may free the flow. */
	item = queue_entry_remove(queue, index);
	if (!last && !flow_can_afford(queue, flow, flow->head))
		flow_move_to_tail(class, flow);
	return item;
}

/* Tries the flow's requests, oldest first. */
static queue_decision_t
flow_pop(queue_t *queue, queue_class_t *class, queue_flow_t *flow,
    queue_can_start_t can_start, void *context, queue_item_t *item)
{
	uint32_t index = flow->head;
	queue_decision_t decision = QUEUE_SKIP;

	for (uint32_t i = 0; i < queue->depth && index != QUEUE_NIL; i++) {
		if (!flow_can_afford(queue, flow, index))
			break;
		decision = can_start(queue_entry_item(queue, index), context);
		if (decision == QUEUE_START)
			*item = flow_start(queue, class, flow, index);
		if (decision != QUEUE_SKIP)
			return decision;
		index = queue_entry_at(queue, index)->next;
	}
	return decision;
}

/*
 * Iterates over the flows of a class. A flow whose deficit is too small moves
 * to the tail and gets another quantum on its next turn. A skipped flow keeps
 * its position and deficit, so that a team gains nothing from requests that
 * cannot start.
 */
static queue_decision_t
class_pop(queue_t *queue, queue_class_t *class, queue_can_start_t can_start,
    void *context, queue_item_t *item)
{
	GList *link = class->ring.head;

	while (link != NULL) {
		queue_flow_t *flow = link->data;
		GList *next = link->next;
		queue_decision_t decision;

		if (!flow->has_quantum) {
			flow->deficit += QUEUE_QUANTUM;
			flow->has_quantum = true;
		}
		if (!flow_can_afford(queue, flow, flow->head)) {
			flow_move_to_tail(class, flow);
			link = next == NULL ? &flow->link : next;
			continue;
		}
		decision =
		    flow_pop(queue, class, flow, can_start, context, item);
		if (decision != QUEUE_SKIP)
			return decision;
		link = next;
	}
	return QUEUE_SKIP;
}

/*
 * Returns the class that was passed over most often, or -1 if none reached
 * QUEUE_AGING_TURNS.
 */
static int
find_aged_class(const queue_t *queue)
{
	int aged = -1;

	for (int i = 0; i < QUEUE_CLASSES; i++) {
		uint32_t passed_over = queue->classes[i].passed_over;

		if (passed_over < QUEUE_AGING_TURNS)
			continue;
		if (aged < 0 || passed_over > queue->classes[aged].passed_over)
			aged = i;
	}
	return aged;
}

static void
classes_update_passed_over(queue_t *queue, int started)
{
	for (int i = 0; i < QUEUE_CLASSES; i++) {
		queue_class_t *class = &queue->classes[i];

		if (i == started || class->count == 0)
			class->passed_over = 0;
		else
			class->passed_over++;
	}
}

bool
queue_pop(queue_t *queue, queue_can_start_t can_start, void *context,
    time_us_t now, queue_item_t *item)
{
	int aged = find_aged_class(queue);

	drain_rate_update(queue, now);
	if (queue_next_deadline(queue) <= now)
		return false;
	/* Try the aged class first, then all others by priority. */
	for (int turn = aged < 0 ? 0 : -1; turn < QUEUE_CLASSES; turn++) {
		int class = turn < 0 ? aged : turn;

		if (turn >= 0 && turn == aged)
			continue;
		switch (class_pop(
		    queue, &queue->classes[class], can_start, context, item)) {
		case QUEUE_START:
			classes_update_passed_over(queue, class);
			return true;
		case QUEUE_STOP:
			return false;
		case QUEUE_SKIP:
			break;
		}
	}
	return false;
}

/* Counts. */

uint32_t
queue_length(const queue_t *queue)
{
	return queue->count;
}

uint32_t
queue_class_length(const queue_t *queue, int priority)
{
	return queue->classes[CLAMP(priority, 0, QUEUE_CLASSES - 1)].count;
}

uint32_t
queue_team_length(const queue_t *queue, const char *team)
{
	const queue_team_t *found = g_hash_table_lookup(queue->teams, team);

	return found == NULL ? 0 : found->count;
}

int64_t
queue_tokens(const queue_t *queue)
{
	return queue->tokens;
}

size_t
queue_bytes(const queue_t *queue)
{
	/* Estimate per team: its record, a short name and a hash table entry.
	 */
	size_t team = sizeof(queue_team_t) + 56;

	return sizeof(*queue) + queue->teams_by_count->len * sizeof(GQueue) +
	       queue->entries->len *
		   (sizeof(queue_entry_t) + sizeof(uint32_t)) +
	       g_hash_table_size(queue->teams) * team;
}
