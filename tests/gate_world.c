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
local_time(const world_t *w, int process)
{
	return w->now + w->processes[process].offset;
}

int64_t
wall_s(const world_t *w)
{
	return WALL_S + w->now / US_PER_S;
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
identity_draw(world_t *w, process_t *p, int before)
{
	p->incarnation = rng_next(&w->rng) | 1;
	for (size_t i = 0; i < sizeof(p->ticket_key); i++)
		p->ticket_key[i] = (uint8_t)rng_next(&w->rng);
	if (before < 0 || w->fault != FAULT_SAME_TICKETS)
		return;
	p->incarnation = w->processes[before].incarnation;
	memcpy(p->ticket_key, w->processes[before].ticket_key,
	    sizeof(p->ticket_key));
}

static void
process_start(world_t *w, int name)
{
	static const char *const seeds[] = {"a0", "a1", "b0", NULL};
	int index = w->n_processes++;
	process_t *p = &w->processes[index];
	int before = w->current[name];
	gate_options_t options = {.instance = instance_names[name],
	    .zone = zone_names[instance_zones[name]],
	    .seeds = seeds,
	    .queue_limit = 6,
	    .pair_fits = pair_fits};
	g_autoptr(GArray) actions =
	    g_array_new(FALSE, FALSE, sizeof(gate_action_t));

	p->name = name;
	p->alive = true;
	p->offset = rng_below(&w->rng, 100 * US_PER_S);
	identity_draw(w, p, before);
	options.incarnation = p->incarnation;
	options.ticket_key = p->ticket_key;
	options.seed = rng_next(&w->rng);
	options.now = local_time(w, index);
	p->gate = gate_create(&options);
	w->current[name] = index;
	list_offer(w, index, LIST_ALLOWANCES, 1, actions);
	list_offer(w, index, LIST_PLANS, w->n_plans, actions);
	list_offer(w, index, LIST_FLEET, w->n_fleets, actions);
	actions_run(w, index, actions);
	event_put(w, rng_below(&w->rng, TICK_US),
	    (event_t){.kind = EVENT_TICK, .process = index});
}

/* Kills a process; its connections break and its attempts end. */
static void
process_kill(world_t *w, int process)
{
	process_t *p = &w->processes[process];

	world_totals.kills++;
	p->alive = false;
	gate_destroy(p->gate);
	p->gate = NULL;
	for (guint i = 0; i < w->flights->len; i++) {
		flight_log_t *f = w->flights->pdata[i];

		if (f->process != process || f->ended)
			continue;
		f->ended = true;
		attempt_release(w, f);
		child_answer(w, f->parent, f->parent ? f->parent->attempt : 0,
		    FLIGHT_LOST, RAN_UNKNOWN);
		child_abort(w, f);
	}
	event_put(w, US_PER_S + rng_below(&w->rng, 3 * US_PER_S),
	    (event_t){.kind = EVENT_START, .process = -2, .name = p->name});
}

static void
on_chaos(world_t *w)
{
	int process = w->current[rng_below(&w->rng, N_NAMES)];
	process_t *p = &w->processes[process];
	int64_t roll = rng_below(&w->rng, w->harsh ? 24 : 60);

	if (roll < 4)
		chaos_list(w);
	else if (roll == 4 && p->alive && w->n_processes < N_PROCESSES)
		process_kill(w, process);
	else if (roll == 5 && p->alive)
		p->paused_until = w->now + rng_below(&w->rng, 9 * US_PER_S);
	else if (roll == 6)
		w->cut_until = w->now + rng_below(&w->rng, 6 * US_PER_S);
	if (w->now < WARM_US + TRAFFIC_US)
		event_put(w, 250 * US_PER_MS,
		    (event_t){.kind = EVENT_CHAOS, .process = -2});
}

static void
on_process_event(world_t *w, int process, const event_t *e, GArray *actions)
{
	gate_t *gate = w->processes[process].gate;
	time_us_t now = local_time(w, process);

	switch (e->kind) {
	case EVENT_TICK:
		gate_tick(gate, now, wall_s(w), actions);
		event_put(w, TICK_US, *e);
		break;
	case EVENT_REQUEST:
		on_request(w, process, actions);
		break;
	case EVENT_LIST:
		list_offer(w, process, e->list, e->version, actions);
		break;
	case EVENT_END:
	case EVENT_ANSWER:
		on_end(w, e, actions);
		break;
	case EVENT_HOP:
		on_hop(w, process, e, actions);
		break;
	case EVENT_ABORT:
		if (!e->flight->ended)
			gate_abort(gate, e->flight->id, REFUSAL_CALLER_GONE,
			    now, actions);
		break;
	default:
		on_peer_event(w, process, e, actions);
		break;
	}
}

static void
event_run(world_t *w, event_t *e, GArray *actions)
{
	int process = e->process;

	w->now = e->at;
	if (e->kind == EVENT_CHAOS)
		on_chaos(w);
	else if (e->kind == EVENT_START)
		process_start(w, e->name);
	if (process == -2)
		return;
	if (process == -1)
		process = w->current[e->name];
	if (!w->processes[process].alive) {
		if (e->kind == EVENT_HOP)
			child_answer(w, e->flight, e->attempt, FLIGHT_UNSENT,
			    RAN_UNKNOWN);
		return;
	}
	if (w->processes[process].paused_until > w->now) {
		event_t later = *e;

		e->heartbeat = NULL;
		event_put(
		    w, w->processes[process].paused_until - w->now, later);
		return;
	}
	on_process_event(w, process, e, actions);
	actions_run(w, process, actions);
}

static void
world_init(world_t *w, uint64_t seed, int fault)
{
	memset(w, 0, sizeof(*w));
	w->rng.state = seed * 7919;
	w->fault = fault;
	w->harsh = seed % 2 == 1;
	w->events = g_sequence_new(event_free);
	w->flights = g_ptr_array_new_with_free_func(g_free);
	w->requests = g_ptr_array_new_with_free_func(g_free);
	w->tickets = g_ptr_array_new_with_free_func(g_free);
	for (int i = 0; i < N_TEAMS; i++) {
		w->admissions[i] =
		    g_array_new(FALSE, FALSE, sizeof(admission_t));
		w->home[i] = i - 1;
	}
	allowances_make(w);
	plans_publish(w);
	fleet_publish(w);
	for (int i = 0; i < N_NAMES; i++)
		w->current[i] = -1;
	for (int i = 0; i < N_NAMES; i++)
		process_start(w, i);
	requests_plan(w);
	event_put(w, WARM_US, (event_t){.kind = EVENT_CHAOS, .process = -2});
}

static void
world_clear(world_t *w)
{
	for (int i = 0; i < w->n_processes; i++)
		gate_destroy(w->processes[i].gate);
	for (uint64_t i = 1; i <= w->n_plans; i++)
		plans_unref(w->plans[i]);
	for (uint64_t i = 1; i <= w->n_fleets; i++)
		fleet_unref(w->fleets[i]);
	allowances_unref(w->allowances);
	for (int i = 0; i < N_TEAMS; i++)
		g_array_free(w->admissions[i], TRUE);
	g_ptr_array_free(w->tickets, TRUE);
	g_ptr_array_free(w->requests, TRUE);
	g_ptr_array_free(w->flights, TRUE);
	g_sequence_free(w->events);
}

const char *
world_schedule(uint64_t seed, int fault)
{
	static char violation[256];
	static world_t w;
	GArray *actions = g_array_new(FALSE, FALSE, sizeof(gate_action_t));

	world_init(&w, seed, fault);
	while (w.now < WARM_US + TRAFFIC_US + SETTLE_US &&
	       w.violation[0] == '\0') {
		GSequenceIter *first = g_sequence_get_begin_iter(w.events);
		event_t *event = g_sequence_get(first);

		event_run(&w, event, actions);
		g_sequence_remove(first);
	}
	if (w.violation[0] == '\0')
		check_ended(&w);
	g_array_free(actions, TRUE);
	world_clear(&w);
	g_strlcpy(violation, w.violation, sizeof(violation));
	return violation[0] == '\0' ? NULL : violation;
}

const char *
world_fault_symptom(int fault)
{
	static const char *const symptoms[FAULT_COUNT] = {[FAULT_NONE] = "",
	    [FAULT_FALSE_UNSENT] = "order:",
	    [FAULT_HOP_AS_OWN] = "hop:",
	    [FAULT_STALE_LISTS] = "key:",
	    [FAULT_EARLY_END] = "slots:",
	    [FAULT_FREE_TOKENS] = "rate:",
	    [FAULT_NEW_DIGEST] = "poison:",
	    [FAULT_LOST_RESULT] = "end:",
	    [FAULT_TWICE] = "end:",
	    /* While it starts, a restarted instance already states "not run"
	     * for tickets that its predecessor used. The repeated run, which
	     * violates "order:", comes later. */
	    [FAULT_SAME_TICKETS] = "not_run:"};

	return symptoms[fault];
}
