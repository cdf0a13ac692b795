#include "engine_world.h"

#include <stdio.h>
#include <string.h>

static bool
chance(const engine_world_t *ew, double p)
{
	return g_rand_double(ew->world->rand) < p;
}

static time_us_t
delay(const engine_world_t *ew, int ms)
{
	return g_rand_int_range(ew->world->rand, 0, ms) * US_PER_MS;
}

static void
targets_add(fleet_t *fleet)
{
	if (fleet->n_targets > 0)
		return;
	fleet->targets = g_new0(target_t, N_ENGINES);
	fleet->n_targets = N_ENGINES;
	for (int i = 0; i < N_ENGINES; i++) {
		target_t *target = &fleet->targets[i];

		target->name = g_strdup_printf("w%d", i);
		target->zone = g_strdup_printf("z%d", i % WORLD_ZONES);
		target->service =
		    g_strdup(i < N_ENGINES / 2 ? "refuse" : "ignore");
		target->url = g_strdup("http://127.0.0.1:1");
	}
}

/* Every fourth list has no desired state in r2, which changes the permits. */
static void
services_add(allowances_t *a)
{
	size_t n = a->head.version % 4 == 3 ? 2 : WORLD_ZONES;

	if (a->n_services > 0)
		return;
	a->n_services = 2;
	a->services = g_new0(service_t, 2);
	a->store_region = g_strdup("r0");
	a->store_loads = STORE_LOADS;
	for (int s = 0; s < 2; s++) {
		service_t *service = &a->services[s];

		service->name = g_strdup(s == 0 ? "refuse" : "ignore");
		service->orders = g_new0(char *, 1);
		service->refuses_fences = s == 0;
		service->n_desired = n;
		service->desired = g_new0(desired_t, n);
		for (size_t r = 0; r < n; r++) {
			desired_t *desired = &service->desired[r];

			desired->region = g_strdup_printf("r%zu", r);
			desired->model = g_strdup("m");
			desired->version = g_strdup_printf(
			    "v%lu", (unsigned long)a->head.version);
			desired->role = g_strdup(
			    a->head.version % 2 == 0 ? "draft" : "embed");
			desired->adapters = g_new0(char *, 1);
		}
	}
}

static void
lists_adopted(void *context, int index)
{
	engine_world_t *ew = context;
	world_t *w = ew->world;
	process_t *p = &w->processes[index];
	char zone[8];

	if (p->fleet < 0 || p->pair < 0)
		return;
	targets_add(w->fleets[p->fleet]);
	services_add(w->allowances[p->pair]);
	if (ew->modules[index] == NULL) {
		g_snprintf(zone, sizeof(zone), "z%d", p->name % WORLD_ZONES);
		ew->modules[index] =
		    engines_create(p->m, zone, w->now / US_PER_S);
		engines_set_faults(ew->modules[index], ew->faults.rules);
	}
	engines_set_lists(ew->modules[index], w->fleets[p->fleet],
	    w->allowances[p->pair], process_clock(w, p));
}

engine_world_t *
engine_world_create(
    uint32_t seed, world_options_t options, engine_world_faults_t faults)
{
	engine_world_t *ew = g_new0(engine_world_t, 1);

	ew->world = world_create(seed, options);
	ew->world->adopted = lists_adopted;
	ew->world->adopted_context = ew;
	ew->faults = faults;
	ew->commands = g_array_new(FALSE, FALSE, sizeof(command_t));
	for (int i = 0; i < N_ENGINES; i++)
		ew->engines[i].refuses = i < N_ENGINES / 2;
	return ew;
}

void
engine_world_destroy(engine_world_t *ew)
{
	for (int i = 0; i < WORLD_PROCESSES; i++)
		engines_destroy(ew->modules[i]);
	g_array_free(ew->commands, TRUE);
	world_destroy(ew->world);
	g_free(ew);
}

/* Reports the result of a command to its process, unless the reply is lost. */
static void
command_report(engine_world_t *ew, const command_t *c, command_result_t result)
{
	const process_t *p = &ew->world->processes[c->process];

	if (!process_runs(ew->world, p))
		return;
	if (result != COMMAND_UNSENT && chance(ew, ew->world->options.lose))
		result = COMMAND_UNKNOWN;
	ew->n_done += result == COMMAND_DONE;
	ew->n_fenced += result == COMMAND_FENCED;
	engines_on_result(ew->modules[c->process], c->action.target,
	    c->action.fence, result, process_clock(ew->world, p));
}

/* Returns false when the command has ended. */
static bool
command_send(engine_world_t *ew, command_t *c)
{
	const process_t *p = &ew->world->processes[c->process];
	bool old;

	if (!p->alive)
		return false;
	if (!process_runs(ew->world, p))
		return true;
	old = process_clock(ew->world, p) > c->action.start_by;
	c->late = old && ew->engines[c->engine].refuses && chance(ew, 0.5);
	ew->n_late += c->late;
	if (old && !c->late && !ew->faults.no_start_limit) {
		command_report(ew, c, COMMAND_UNSENT);
		return false;
	}
	if (chance(ew, ew->world->options.lose)) {
		command_report(ew, c, COMMAND_UNKNOWN);
		return false;
	}
	c->sent = true;
	c->at = ew->world->now + delay(ew, 1000);
	return true;
}

static bool
engine_runs(const engine_world_t *ew, int engine)
{
	for (guint i = 0; i < ew->commands->len; i++) {
		const command_t *c = &g_array_index(ew->commands, command_t, i);

		if (c->running && c->engine == engine)
			return true;
	}
	return false;
}

static bool
command_arrive(engine_world_t *ew, command_t *c)
{
	model_engine_t *engine = &ew->engines[c->engine];

	if (engine->refuses && c->action.fence < engine->state.fence) {
		command_report(ew, c, COMMAND_FENCED);
		return false;
	}
	if (c->decided < engine->applied && c->process != engine->applied_by)
		ew->violation = "a command of an older owner was applied";
	if (engine_runs(ew, c->engine)) {
		if (!engine->refuses)
			ew->violation = "commands overlap";
		command_report(ew, c, COMMAND_FAILED);
		return false;
	}
	engine->applied = c->decided;
	engine->applied_by = c->process;
	engine->state.fence = MAX(engine->state.fence, c->action.fence);
	c->running = true;
	c->fails = chance(ew, ew->world->options.lose);
	c->at = ew->world->now + US_PER_S +
		delay(ew, (int)(COMMAND_RUN_US / US_PER_MS) - 1000);
	return true;
}

static bool
command_end(engine_world_t *ew, command_t *c)
{
	engine_config_t *config = &ew->engines[c->engine].state.config;

	c->running = false;
	if (!c->fails && c->action.kind == COMMAND_ROLE)
		memcpy(config->role, c->action.config.role, NAME_LIMIT + 1);
	if (!c->fails && c->action.kind == COMMAND_LOAD) {
		engine_config_t loaded = c->action.config;

		memcpy(loaded.role, config->role, NAME_LIMIT + 1);
		*config = loaded;
	}
	command_report(ew, c, c->fails ? COMMAND_FAILED : COMMAND_DONE);
	return false;
}

static void
commands_advance(engine_world_t *ew)
{
	for (guint i = 0; i < ew->commands->len;) {
		command_t *c = &g_array_index(ew->commands, command_t, i);
		bool goes_on = true;

		if (c->at <= ew->world->now)
			goes_on = c->running ? command_end(ew, c)
				  : c->sent  ? command_arrive(ew, c)
					     : command_send(ew, c);
		if (goes_on)
			i++;
		else
			g_array_remove_index(ew->commands, i);
	}
}

/* Pauses a process between the decision and the transfer of a command, often
 * until another instance owns the target. */
static void
process_pause(engine_world_t *ew, process_t *p)
{
	time_us_t now = ew->world->now;

	p->paused_until = now + delay(ew, 200000);
	if (chance(ew, 0.7))
		ew->world->remove_at[p->name] = now + delay(ew, 10000);
}

static void
action_execute(engine_world_t *ew, int process, const engine_action_t *action)
{
	process_t *p = &ew->world->processes[process];
	int engine = atoi(action->target + 1);
	command_t c = {.action = *action, .process = process, .engine = engine};
	engine_state_t state = ew->engines[engine].state;

	if (action->poll) {
		state.busy = engine_runs(ew, engine);
		engines_on_state(ew->modules[process], action->target,
		    action->decided_at,
		    chance(ew, ew->world->options.lose) ? NULL : &state);
		return;
	}
	c.decided = ew->world->now;
	c.at = ew->world->now + delay(ew, 1000);
	if (chance(ew, ew->world->options.pause * 5))
		process_pause(ew, p);
	g_array_append_val(ew->commands, c);
}

static void
modules_tick(engine_world_t *ew)
{
	world_t *w = ew->world;

	for (int i = 0; i < w->n_processes; i++) {
		g_autoptr(GArray) actions =
		    g_array_new(FALSE, FALSE, sizeof(engine_action_t));
		process_t *p = &w->processes[i];

		if (!p->alive && ew->modules[i] != NULL) {
			engines_destroy(ew->modules[i]);
			ew->modules[i] = NULL;
		}
		if (!process_runs(w, p) || ew->modules[i] == NULL)
			continue;
		engines_tick(ew->modules[i], process_clock(w, p), actions);
		for (guint k = 0; k < actions->len; k++)
			action_execute(
			    ew, i, &g_array_index(actions, engine_action_t, k));
	}
}

/* Commands sent late to an engine that refuses old fencing numbers may exceed
 * the limits, as core/engine.h explains, and aren't counted. */
static void
limits_check(engine_world_t *ew)
{
	int loads = 0;
	int of_service[2][WORLD_ZONES] = {0};

	for (guint i = 0; i < ew->commands->len; i++) {
		const command_t *c = &g_array_index(ew->commands, command_t, i);
		int *count = &of_service[c->engine < N_ENGINES / 2]
					[c->engine % WORLD_ZONES];

		if (!c->running || c->action.kind != COMMAND_LOAD || c->late)
			continue;
		if (++loads > STORE_LOADS)
			ew->violation = "the store's limit is exceeded";
		if (++*count > ENGINES_OF_SERVICE / 2)
			ew->violation = "more than half of a service loads";
	}
}

void
engine_world_step(engine_world_t *ew)
{
	world_step(ew->world);
	/* First destroys the modules of stopped processes, so that results go
	 * only to the remaining ones. */
	modules_tick(ew);
	commands_advance(ew);
	limits_check(ew);
}

bool
engine_world_holds_shares(engine_world_t *ew)
{
	world_t *w = ew->world;
	uint64_t version = w->allowances[w->n_pairs - 1]->head.version;

	for (int name = 0; name < WORLD_NAMES; name++) {
		process_t *p = &w->processes[MAX(w->current[name], 0)];

		if (w->current[name] < 0 || !p->alive ||
		    membership_share(p->m, process_clock(w, p)) == 0 ||
		    !membership_is_settled(p->m, LIST_ALLOWANCES, version))
			return false;
	}
	return true;
}

bool
engine_world_is_as_desired(const engine_world_t *ew)
{
	const world_t *w = ew->world;
	const allowances_t *a = w->allowances[w->n_pairs - 1];

	for (int i = 0; i < N_ENGINES; i++) {
		const engine_config_t *actual = &ew->engines[i].state.config;
		char region[8];
		const desired_t *desired;

		g_snprintf(region, sizeof(region), "r%d", i % WORLD_ZONES);
		desired = service_find_desired(
		    &a->services[i < N_ENGINES / 2 ? 0 : 1], region);
		if (desired != NULL &&
		    (strcmp(actual->version, desired->version) != 0 ||
			strcmp(actual->role, desired->role) != 0))
			return false;
	}
	return true;
}
