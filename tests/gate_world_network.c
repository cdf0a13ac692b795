#include "gate_world_internal.h"

static gint
event_compare(gconstpointer a, gconstpointer b, gpointer data)
{
	const event_t *x = a;
	const event_t *y = b;

	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return x->order < y->order ? -1 : x->order > y->order;
}

void
event_free(gpointer data)
{
	event_t *event = data;

	g_free(event->heartbeat);
	g_free(event);
}

void
event_put(world_t *w, time_us_t after, event_t event)
{
	event_t *copy = g_memdup2(&event, sizeof(event));

	copy->at = w->now + after;
	copy->order = w->order++;
	g_sequence_insert_sorted(w->events, copy, event_compare, NULL);
}

bool
link_is_cut(const world_t *w, int from, int to)
{
	return w->now < w->cut_until &&
	       instance_zones[from] != instance_zones[to];
}

time_us_t
link_delay(world_t *w)
{
	if (rng_chance(&w->rng, 25))
		return rng_below(&w->rng, 2 * US_PER_S);
	return US_PER_MS + rng_below(&w->rng, 80 * US_PER_MS);
}

/* Sends a message between instances, which can be lost, delayed, reordered or
 * duplicated. Returns false if it was lost. */
static bool
message_put(world_t *w, event_t event)
{
	bool lost = link_is_cut(w, event.from, event.name) ||
		    rng_chance(&w->rng, w->harsh ? 15 : 60);

	event.process = -1;
	if (!lost && event.heartbeat == NULL && rng_chance(&w->rng, 20))
		event_put(w, link_delay(w), event);
	if (lost)
		g_free(event.heartbeat);
	else
		event_put(w, link_delay(w), event);
	return !lost;
}

static void
action_heartbeat(world_t *w, int process, const gate_action_t *action)
{
	process_t *p = &w->processes[process];
	event_t event = {.kind = EVENT_HEARTBEAT,
	    .from = p->name,
	    .name = name_index(action->u.heartbeat.peer)};
	event_t failed = {
	    .kind = EVENT_NO_REPLY, .process = process, .from = event.name};

	event.heartbeat = g_new(heartbeat_t, 1);
	gate_heartbeat_fill(p->gate, action->u.heartbeat.peer, event.heartbeat,
	    local_time(w, process));
	if (!message_put(w, event))
		event_put(w, US_PER_S, failed);
}

static void
action_fetch(world_t *w, int process, const gate_action_t *action)
{
	event_t event = {.kind = EVENT_FETCHED,
	    .process = process,
	    .list = action->u.fetch.list};
	int from = name_index(action->u.fetch.peer);
	int name = w->processes[process].name;

	if (!link_is_cut(w, from, name) && !rng_chance(&w->rng, 10))
		event.version = action->u.fetch.version;
	event_put(w, link_delay(w), event);
}

void
action_peer(world_t *w, int process, const gate_action_t *action)
{
	event_t event = {.from = w->processes[process].name};

	switch (action->kind) {
	case ACTION_HEARTBEAT:
		action_heartbeat(w, process, action);
		break;
	case ACTION_FETCH:
		action_fetch(w, process, action);
		break;
	case ACTION_BORROW:
		event.kind = EVENT_BORROW;
		event.name = name_index(action->u.borrow.peer);
		event.u.borrow = action->u.borrow.request;
		message_put(w, event);
		break;
	case ACTION_RETURN:
		event.kind = EVENT_RETURN;
		event.name = name_index(action->u.give_back.lender);
		event.u.back = action->u.give_back;
		message_put(w, event);
		break;
	default:
		break;
	}
}

void
on_peer_event(world_t *w, int process, const event_t *e, GArray *actions)
{
	gate_t *gate = w->processes[process].gate;
	time_us_t now = local_time(w, process);
	event_t answer = {.from = e->name, .name = e->from};

	switch (e->kind) {
	case EVENT_HEARTBEAT:
		answer.kind = EVENT_REPLY;
		answer.heartbeat = g_new0(heartbeat_t, 1);
		gate_on_heartbeat(
		    gate, e->heartbeat, answer.heartbeat, now, actions);
		message_put(w, answer);
		break;
	case EVENT_REPLY:
		gate_on_reply(
		    gate, instance_names[e->from], e->heartbeat, now, actions);
		break;
	case EVENT_NO_REPLY:
		gate_on_reply(
		    gate, instance_names[e->from], NULL, now, actions);
		break;
	case EVENT_BORROW:
		answer.kind = EVENT_GRANT;
		gate_on_borrow(gate, &e->u.borrow, now, &answer.u.grant);
		world_totals.loans += answer.u.grant.loan_id != 0;
		message_put(w, answer);
		break;
	case EVENT_GRANT:
		gate_on_grant(gate, &e->u.grant, now, actions);
		break;
	case EVENT_RETURN:
		gate_on_return(gate, &e->u.back, now);
		break;
	case EVENT_FETCHED:
		if (e->version != 0)
			list_offer(w, process, e->list, e->version, actions);
		gate_fetch_end(gate, e->list, e->version != 0, now);
		break;
	default:
		break;
	}
}
