#include "gate_internal.h"

/* Interval of engines_tick(). */
#define ENGINES_TICK_US (500 * US_PER_MS)

static uint32_t
target_in_flight(void *context, const char *target)
{
	const gate_t *gate = context;
	route_view_t view;

	if (!route_view(gate->route, route_find(gate->route, target), 0, &view))
		return 0;
	return view.in_flight;
}

void
gate_create_engines(gate_t *gate, int64_t start_s)
{
	gate->engines = engines_create(gate->membership, gate->zone, start_s);
	engines_set_in_flight(gate->engines, target_in_flight, gate);
}

void
gate_tick_engines(gate_t *gate, time_us_t now, GArray *actions)
{
	g_autoptr(GArray) steps = NULL;

	/* A draining process may exit before its command completes. */
	if (now < gate->engines_tick_at || gate->draining)
		return;
	gate->engines_tick_at = now + ENGINES_TICK_US;
	steps = g_array_new(FALSE, FALSE, sizeof(engine_action_t));
	engines_tick(gate->engines, now, steps);
	for (guint i = 0; i < steps->len; i++) {
		const engine_action_t *step =
		    &g_array_index(steps, engine_action_t, i);

		gate_action(gate, actions,
		    step->poll ? ACTION_ENGINE_STATE : ACTION_COMMAND, NULL)
		    ->u.engine = g_memdup2(step, sizeof(*step));
	}
}

void
gate_on_engine_state(
    gate_t *gate, const engine_action_t *step, const engine_state_t *state)
{
	engines_on_state(gate->engines, step->target, step->decided_at, state);
}

void
gate_on_command(gate_t *gate, const engine_action_t *step,
    command_result_t result, time_us_t now)
{
	engines_on_result(
	    gate->engines, step->target, step->fence, result, now);
}
