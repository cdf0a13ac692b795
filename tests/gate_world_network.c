#include "gate_world_internal.h"

static gint
event_compare(gconstpointer a, gconstpointer b, gpointer data)
{
	const event_t *x = a;
	const event_t *y = b;

	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

void
event_free(gpointer data)
{
	event_t *event = data;

	g_free(event->heartbeat);
	g_free(event);
}

void
event_put(world_t *world, time_us_t after, event_t event)
{
	event_t *copy = g_memdup2(&event, sizeof(event));

	copy->at = world->now + after;
	copy->sequence = world->sequence++;
	g_sequence_insert_sorted(world->events, copy, event_compare, NULL);
}

bool
link_is_down(const world_t *world, int from, int to)
{
	return world->now < world->links_down_until &&
	       instance_zones[from] != instance_zones[to];
}

time_us_t
link_delay(world_t *world)
{
	if (rng_chance(&world->rng, 25))
		return rng_below(&world->rng, 2 * US_PER_S);
	return US_PER_MS + rng_below(&world->rng, 80 * US_PER_MS);
}

/* Sends a message between instances, which can be lost, delayed, reordered or
 * duplicated. Returns false if it was lost. */
static bool
message_put(world_t *world, event_t event)
{
	bool lost = link_is_down(world, event.from, event.name) ||
		    rng_chance(&world->rng, world->more_faults ? 15 : 60);

	event.process = -1;
	if (!lost && event.heartbeat == NULL && rng_chance(&world->rng, 20))
		event_put(world, link_delay(world), event);
	if (lost)
		g_free(event.heartbeat);
	else
		event_put(world, link_delay(world), event);
	return !lost;
}

static void
action_heartbeat(world_t *world, int process, const gate_action_t *action)
{
	process_t *proc = &world->processes[process];
	event_t event = {.kind = EVENT_HEARTBEAT,
	    .from = proc->name,
	    .name = name_index(action->u.heartbeat.peer)};
	event_t failed = {
	    .kind = EVENT_NO_REPLY, .process = process, .from = event.name};

	event.heartbeat = g_new(heartbeat_t, 1);
	gate_heartbeat_fill(proc->gate, action->u.heartbeat.peer,
	    event.heartbeat, local_time(world, process));
	if (!message_put(world, event))
		event_put(world, US_PER_S, failed);
}

static void
action_fetch(world_t *world, int process, const gate_action_t *action)
{
	event_t event = {.kind = EVENT_FETCHED,
	    .process = process,
	    .list = action->u.fetch.list};
	int from = name_index(action->u.fetch.peer);
	int name = world->processes[process].name;

	if (!link_is_down(world, from, name) && !rng_chance(&world->rng, 10))
		event.version = action->u.fetch.version;
	event_put(world, link_delay(world), event);
}

void
action_peer(world_t *world, int process, const gate_action_t *action)
{
	event_t event = {.from = world->processes[process].name};

	switch (action->kind) {
	case ACTION_HEARTBEAT:
		action_heartbeat(world, process, action);
		break;
	case ACTION_FETCH:
		action_fetch(world, process, action);
		break;
	case ACTION_BORROW:
		event.kind = EVENT_BORROW;
		event.name = name_index(action->u.borrow.peer);
		event.u.borrow = action->u.borrow.request;
		message_put(world, event);
		break;
	case ACTION_RETURN:
		event.kind = EVENT_RETURN;
		event.name = name_index(action->u.give_back.lender);
		event.u.back = action->u.give_back;
		message_put(world, event);
		break;
	default:
		break;
	}
}

void
on_peer_event(
    world_t *world, int process, const event_t *event, GArray *actions)
{
	gate_t *gate = world->processes[process].gate;
	time_us_t now = local_time(world, process);
	event_t answer = {.from = event->name, .name = event->from};

	switch (event->kind) {
	case EVENT_HEARTBEAT:
		answer.kind = EVENT_REPLY;
		answer.heartbeat = g_new0(heartbeat_t, 1);
		gate_on_heartbeat(
		    gate, event->heartbeat, answer.heartbeat, now, actions);
		message_put(world, answer);
		break;
	case EVENT_REPLY:
		gate_on_reply(gate, instance_names[event->from],
		    event->heartbeat, now, actions);
		break;
	case EVENT_NO_REPLY:
		gate_on_reply(
		    gate, instance_names[event->from], NULL, now, actions);
		break;
	case EVENT_BORROW:
		answer.kind = EVENT_GRANT;
		gate_on_borrow(gate, &event->u.borrow, now, &answer.u.grant);
		world_totals.loans += answer.u.grant.loan_id != 0;
		message_put(world, answer);
		break;
	case EVENT_GRANT:
		gate_on_grant(gate, &event->u.grant, now, actions);
		break;
	case EVENT_RETURN:
		gate_on_return(gate, &event->u.back, now);
		break;
	case EVENT_FETCHED:
		if (event->version != 0)
			list_offer(world, process, event->list, event->version,
			    actions);
		gate_fetch_end(gate, event->list, event->version != 0, now);
		break;
	default:
		break;
	}
}
