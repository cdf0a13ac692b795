#include "gate_world_internal.h"

#include <string.h>

const char *const instance_names[N_NAMES] = {"a0", "a1", "a2", "b0", "b1"};
const int instance_zones[N_NAMES] = {0, 0, 0, 1, 1};
const char *const zone_names[] = {"z0", "z1"};

const model_target_t model_targets[N_TARGETS] = {{"e0", "e", 0, 4},
    {"e1", "e", 0, 3}, {"e2", "e", 1, 4}, {"p0", "p", 0, 4}, {"p1", "p", 0, 2}};

world_totals_t world_totals;
bool world_strict_slots;

time_us_t
local_time(const world_t *world, int process)
{
	return world->now + world->processes[process].offset;
}

int64_t
wall_s(const world_t *world)
{
	return WALL_S + world->now / US_PER_S;
}

int
name_index(const char *name)
{
	for (int i = 0; i < N_NAMES; i++) {
		if (strcmp(instance_names[i], name) == 0)
			return i;
	}
	return -1;
}

/* All teams use the only plan, so any two lists are consistent. */
static bool
pair_fits(const plans_t *plans, const allowances_t *allowances, void *data)
{
	return true;
}

/* Draws the identity of a process. before: the previous one of this name, or
 * -1. */
static void
identity_draw(world_t *world, process_t *proc, int previous)
{
	proc->incarnation = rng_next(&world->rng) | 1;
	for (size_t i = 0; i < sizeof(proc->ticket_key); i++)
		proc->ticket_key[i] = (uint8_t)rng_next(&world->rng);
	if (previous < 0 || world->fault != FAULT_KEPT_IDENTITY)
		return;
	proc->incarnation = world->processes[previous].incarnation;
	memcpy(proc->ticket_key, world->processes[previous].ticket_key,
	    sizeof(proc->ticket_key));
}

static void
process_start(world_t *world, int name)
{
	static const char *const seeds[] = {"a0", "a1", "b0", NULL};
	int index = world->n_processes++;
	process_t *proc = &world->processes[index];
	int previous = world->current[name];
	gate_options_t options = {.instance = instance_names[name],
	    .zone = zone_names[instance_zones[name]],
	    .seeds = seeds,
	    .queue_limit = 6,
	    .pair_fits = pair_fits};
	g_autoptr(GArray) actions =
	    g_array_new(FALSE, FALSE, sizeof(gate_action_t));

	proc->name = name;
	proc->alive = true;
	proc->offset = rng_below(&world->rng, 100 * US_PER_S);
	identity_draw(world, proc, previous);
	options.incarnation = proc->incarnation;
	options.ticket_key = proc->ticket_key;
	options.seed = rng_next(&world->rng);
	options.now = local_time(world, index);
	proc->gate = gate_create(&options);
	world->current[name] = index;
	list_offer(world, index, LIST_ALLOWANCES, 1, actions);
	list_offer(world, index, LIST_PLANS, world->n_plans, actions);
	list_offer(world, index, LIST_FLEET, world->n_fleets, actions);
	actions_run(world, index, actions);
	event_put(world, rng_below(&world->rng, TICK_US),
	    (event_t){.kind = EVENT_TICK, .process = index});
}

/* Kills a process; its connections break and its attempts end. */
static void
process_kill(world_t *world, int process)
{
	process_t *proc = &world->processes[process];

	world_totals.kills++;
	proc->alive = false;
	gate_destroy(proc->gate);
	proc->gate = NULL;
	for (guint i = 0; i < world->process_requests->len; i++) {
		process_request_t *pr = world->process_requests->pdata[i];

		if (pr->process != process || pr->ended)
			continue;
		pr->ended = true;
		attempt_release(world, pr);
		child_answer(world, pr->parent,
		    pr->parent ? pr->parent->attempt : 0, GATE_ATTEMPT_LOST,
		    EXECUTION_UNKNOWN);
		child_abort(world, pr);
	}
	event_put(world, US_PER_S + rng_below(&world->rng, 3 * US_PER_S),
	    (event_t){.kind = EVENT_START, .process = -2, .name = proc->name});
}

static void
on_chaos(world_t *world)
{
	int process = world->current[rng_below(&world->rng, N_NAMES)];
	process_t *proc = &world->processes[process];
	int64_t roll = rng_below(&world->rng, world->more_faults ? 24 : 60);

	if (roll < 4)
		chaos_list(world);
	else if (roll == 4 && proc->alive && world->n_processes < N_PROCESSES)
		process_kill(world, process);
	else if (roll == 5 && proc->alive)
		proc->paused_until =
		    world->now + rng_below(&world->rng, 9 * US_PER_S);
	else if (roll == 6)
		world->links_down_until =
		    world->now + rng_below(&world->rng, 6 * US_PER_S);
	if (world->now < WARM_US + TRAFFIC_US)
		event_put(world, 250 * US_PER_MS,
		    (event_t){.kind = EVENT_CHAOS, .process = -2});
}

static void
on_process_event(
    world_t *world, int process, const event_t *event, GArray *actions)
{
	gate_t *gate = world->processes[process].gate;
	time_us_t now = local_time(world, process);

	switch (event->kind) {
	case EVENT_TICK:
		gate_tick(gate, now, wall_s(world), actions);
		event_put(world, TICK_US, *event);
		break;
	case EVENT_REQUEST:
		on_request(world, process, actions);
		break;
	case EVENT_LIST:
		list_offer(
		    world, process, event->list, event->version, actions);
		break;
	case EVENT_ATTEMPT_END:
	case EVENT_ANSWER:
		on_attempt_end(world, event, actions);
		break;
	case EVENT_FORWARDED:
		on_forwarded(world, process, event, actions);
		break;
	case EVENT_ABORT:
		if (!event->request->ended)
			gate_abort(gate, event->request->id,
			    REFUSAL_CALLER_GONE, now, actions);
		break;
	default:
		on_peer_event(world, process, event, actions);
		break;
	}
}

static void
event_run(world_t *world, event_t *event, GArray *actions)
{
	int process = event->process;

	world->now = event->at;
	if (event->kind == EVENT_CHAOS)
		on_chaos(world);
	else if (event->kind == EVENT_START)
		process_start(world, event->name);
	if (process == -2)
		return;
	if (process == -1)
		process = world->current[event->name];
	if (!world->processes[process].alive) {
		if (event->kind == EVENT_FORWARDED)
			child_answer(world, event->request, event->attempt,
			    GATE_ATTEMPT_UNSENT, EXECUTION_UNKNOWN);
		return;
	}
	if (world->processes[process].paused_until > world->now) {
		event_t later = *event;

		event->heartbeat = NULL;
		event_put(world,
		    world->processes[process].paused_until - world->now, later);
		return;
	}
	on_process_event(world, process, event, actions);
	actions_run(world, process, actions);
}

static void
world_init(world_t *world, uint64_t seed, int fault)
{
	memset(world, 0, sizeof(*world));
	world->rng.state = seed * 7919;
	world->fault = fault;
	world->more_faults = seed % 2 == 1;
	world->events = g_sequence_new(event_free);
	world->process_requests = g_ptr_array_new_with_free_func(g_free);
	world->requests = g_ptr_array_new_with_free_func(g_free);
	world->tickets = g_ptr_array_new_with_free_func(g_free);
	for (int i = 0; i < N_TEAMS; i++) {
		world->admissions[i] =
		    g_array_new(FALSE, FALSE, sizeof(admission_t));
		world->home[i] = i - 1;
	}
	allowances_make(world);
	plans_publish(world);
	fleet_publish(world);
	for (int i = 0; i < N_NAMES; i++)
		world->current[i] = -1;
	for (int i = 0; i < N_NAMES; i++)
		process_start(world, i);
	requests_schedule(world);
	event_put(
	    world, WARM_US, (event_t){.kind = EVENT_CHAOS, .process = -2});
}

static void
world_clear(world_t *world)
{
	for (int i = 0; i < world->n_processes; i++)
		gate_destroy(world->processes[i].gate);
	for (uint64_t i = 1; i <= world->n_plans; i++)
		plans_unref(world->plans[i]);
	for (uint64_t i = 1; i <= world->n_fleets; i++)
		fleet_unref(world->fleets[i]);
	allowances_unref(world->allowances);
	for (int i = 0; i < N_TEAMS; i++)
		g_array_free(world->admissions[i], TRUE);
	g_ptr_array_free(world->tickets, TRUE);
	g_ptr_array_free(world->requests, TRUE);
	g_ptr_array_free(world->process_requests, TRUE);
	g_sequence_free(world->events);
}

const char *
world_schedule(uint64_t seed, int fault)
{
	static char violation[256];
	static world_t world;
	GArray *actions = g_array_new(FALSE, FALSE, sizeof(gate_action_t));

	world_init(&world, seed, fault);
	while (world.now < WARM_US + TRAFFIC_US + SETTLE_US &&
	       world.violation[0] == '\0') {
		GSequenceIter *first = g_sequence_get_begin_iter(world.events);
		event_t *event = g_sequence_get(first);

		event_run(&world, event, actions);
		g_sequence_remove(first);
	}
	if (world.violation[0] == '\0')
		check_ended(&world);
	g_array_free(actions, TRUE);
	world_clear(&world);
	g_strlcpy(violation, world.violation, sizeof(violation));
	return violation[0] == '\0' ? NULL : violation;
}

const char *
world_fault_symptom(int fault)
{
	static const char *const symptoms[FAULT_COUNT] = {[FAULT_NONE] = "",
	    [FAULT_FALSE_UNSENT] = "order:",
	    [FAULT_FORWARD_AS_CALLER] = "forward:",
	    [FAULT_STALE_LISTS] = "key:",
	    [FAULT_EARLY_END] = "slots:",
	    [FAULT_FREE_TOKENS] = "rate:",
	    [FAULT_NEW_DIGEST] = "poison:",
	    [FAULT_LOST_RESULT] = "end:",
	    [FAULT_REPEATED_REFUSAL] = "end:",
	    /* While it starts, a restarted instance already states "not run"
	     * for tickets that its predecessor used. The repeated run, which
	     * violates "order:", comes later. */
	    [FAULT_KEPT_IDENTITY] = "not_run:"};

	return symptoms[fault];
}
