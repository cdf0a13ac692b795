#include "gate_world_internal.h"

#include <string.h>

void
attempt_release(world_t *world, process_request_t *pr)
{
	if (pr->target >= 0) {
		world->in_flight[pr->target]--;
		world->processes[pr->process].in_flight[pr->target]--;
	}
	pr->target = -1;
}

static int
target_index(const char *url)
{
	for (int i = 0; i < N_TARGETS; i++) {
		if (strcmp(model_targets[i].name, url) == 0)
			return i;
	}
	return -1;
}

static gate_attempt_result_t
draw_result(world_t *world, const caller_request_t *request)
{
	int64_t roll = rng_below(&world->rng, 100);

	if (roll < 12)
		return GATE_ATTEMPT_UNSENT;
	if (request->body < N_POISON || roll < 22)
		return GATE_ATTEMPT_LOST;
	return roll < 26 ? GATE_ATTEMPT_TIMEOUT : GATE_ATTEMPT_OK;
}

static void
attempt_written(world_t *world, process_request_t *pr)
{
	caller_request_t *request = pr->request;

	request->written = true;
	if (request->ticket != NULL && ++request->ticket->written > 1)
		violate(world, "order: sent twice");
}

static void
action_send(world_t *world, process_request_t *pr, const gate_action_t *action)
{
	event_t end = {
	    .kind = EVENT_ATTEMPT_END, .process = pr->process, .request = pr};
	int target = target_index(action->u.send.url);
	time_us_t duration =
	    5 * US_PER_MS + rng_below(&world->rng, 300 * US_PER_MS);

	world_totals.sends++;
	attempt_release(world, pr);
	pr->target = target;
	pr->sent_at = world->now;
	world->in_flight[target]++;
	world->processes[pr->process].in_flight[target]++;
	check_slots(world, pr->process, target);
	check_key(world, pr);
	check_home(world, pr, model_targets[target].zone);
	check_poison(world, pr);
	if (model_targets[target].zone !=
	    instance_zones[world->processes[pr->process].name])
		violate(world, "zone: sent to a target of another zone");
	pr->result = draw_result(world, pr->request);
	if (pr->result != GATE_ATTEMPT_UNSENT)
		attempt_written(world, pr);
	if (rng_chance(&world->rng, 12))
		duration += rng_below(&world->rng, 4 * US_PER_S);
	if (pr->result == GATE_ATTEMPT_UNSENT)
		duration /= 20;
	end.attempt = ++pr->attempt;
	end.result = pr->result;
	if (world->fault != FAULT_LOST_RESULT || !rng_chance(&world->rng, 20))
		event_put(world, duration, end);
	if (world->fault == FAULT_EARLY_END)
		event_put(world, duration / 4, end);
}

static void
action_forward(
    world_t *world, process_request_t *pr, const gate_action_t *action)
{
	int to = name_index(action->u.forward.http);
	int from = world->processes[pr->process].name;
	event_t forward = {
	    .kind = EVENT_FORWARDED, .process = -1, .name = to, .request = pr};
	event_t end = {
	    .kind = EVENT_ANSWER, .process = pr->process, .request = pr};

	world_totals.forwards++;
	if (pr->parent != NULL)
		violate(world, "forward: forwarded twice");
	check_home(world, pr, instance_zones[to]);
	forward.from = from;
	forward.attempt = end.attempt = ++pr->attempt;
	end.result = GATE_ATTEMPT_UNSENT;
	if (link_is_down(world, from, to) || rng_chance(&world->rng, 15)) {
		event_put(world, US_PER_S, end);
		return;
	}
	event_put(world, link_delay(world), forward);
	if (!rng_chance(&world->rng, 15))
		return;
	/* The answer is lost or too late. */
	end.result = GATE_ATTEMPT_TIMEOUT;
	event_put(world, rng_below(&world->rng, US_PER_S), end);
}

void
child_answer(world_t *world, process_request_t *parent, unsigned int attempt,
    gate_attempt_result_t result, execution_t ran)
{
	if (parent == NULL || parent->attempt != attempt || parent->ended)
		return;
	parent->forward_execution = ran;
	event_put(world, link_delay(world),
	    (event_t){.kind = EVENT_ANSWER,
		.process = parent->process,
		.request = parent,
		.attempt = attempt,
		.result = result});
}

void
child_abort(world_t *world, const process_request_t *pr)
{
	if (pr->child != NULL)
		event_put(world, link_delay(world),
		    (event_t){.kind = EVENT_ABORT,
			.process = pr->child->process,
			.request = pr->child});
}

static void
process_request_end(
    world_t *world, process_request_t *pr, bool whole, execution_t ran)
{
	if (pr->ended)
		violate(world, "end: a request ended twice");
	pr->ended = true;
	attempt_release(world, pr);
	if (pr->parent != NULL)
		child_answer(world, pr->parent, pr->parent->attempt,
		    whole ? GATE_ATTEMPT_OK : GATE_ATTEMPT_LOST, ran);
}

static void
action_refuse(
    world_t *world, process_request_t *pr, const gate_action_t *action)
{
	world_totals.refusals++;
	if (action->u.refuse.reason == REFUSAL_KEY_WITHDRAWN)
		world_totals.withdrawn++;
	if (action->u.refuse.execution == EXECUTION_NOT_RUN)
		check_not_run(world, pr->request, true, "a refusal");
	/* Tokens used at a target are charged even if the answer is refused. */
	admission_settle(world, pr, pr->used);
	process_request_end(world, pr, true, action->u.refuse.execution);
}

static void
action_done(world_t *world, process_request_t *pr)
{
	bool refused = pr->attempt != 0 &&
		       pr->forward_execution == EXECUTION_NOT_RUN &&
		       pr->child != NULL;

	world_totals.done++;
	if (refused && pr->parent == NULL)
		check_not_run(world, pr->request, false, "another instance");
	admission_settle(world, pr, pr->used);
	process_request_end(world, pr, true, EXECUTION_COMPLETED);
}

static void
action_cancel(world_t *world, process_request_t *pr)
{
	event_t end = {
	    .kind = pr->target >= 0 ? EVENT_ATTEMPT_END : EVENT_ANSWER,
	    .process = pr->process,
	    .request = pr,
	    .attempt = pr->attempt,
	    .result = GATE_ATTEMPT_CANCELLED};

	event_put(world, rng_below(&world->rng, 20 * US_PER_MS), end);
	child_abort(world, pr);
}

static void
action_request(world_t *world, const gate_action_t *action)
{
	process_request_t *pr = action->user;

	if (pr->ended)
		violate(world, "end: an action for a request that has ended");
	switch (action->kind) {
	case ACTION_SEND:
		action_send(world, pr, action);
		break;
	case ACTION_FORWARD:
		action_forward(world, pr, action);
		break;
	case ACTION_REFUSE:
		action_refuse(world, pr, action);
		break;
	case ACTION_REPLAY:
		world_totals.replays++;
		if (action->u.replay.answer != NULL)
			g_bytes_unref(action->u.replay.answer);
		process_request_end(world, pr, true, EXECUTION_COMPLETED);
		break;
	case ACTION_DONE:
		action_done(world, pr);
		break;
	case ACTION_CANCEL:
		action_cancel(world, pr);
		break;
	default:
		break;
	}
}

void
actions_run(world_t *world, int process, GArray *actions)
{
	/* Before sends: a request can be charged, sent and ended in one call.
	 */
	check_admissions(world, process);
	for (guint i = 0; i < actions->len; i++) {
		const gate_action_t *action =
		    &g_array_index(actions, gate_action_t, i);

		if (action->user == NULL) {
			action_peer(world, process, action);
			continue;
		}
		action_request(world, action);
		if (world->fault == FAULT_REPEATED_REFUSAL &&
		    action->kind == ACTION_REFUSE)
			action_request(world, action);
	}
	g_array_set_size(actions, 0);
}

/* Records the tokens to charge; all reserved ones if usage is unknown. */
static void
used_record(process_request_t *pr, const gate_attempt_outcome_t *outcome)
{
	bool forward = pr->target < 0;

	if (outcome->result == GATE_ATTEMPT_UNSENT)
		return;
	pr->used = outcome->used < 0 ? pr->request->cost : outcome->used;
	if (forward && outcome->result == GATE_ATTEMPT_OK &&
	    outcome->forward_execution == EXECUTION_NOT_RUN)
		pr->used = 0;
}

void
on_attempt_end(world_t *world, const event_t *event, GArray *actions)
{
	process_request_t *pr = event->request;
	gate_attempt_outcome_t outcome = {.result = event->result,
	    .status = 200,
	    .delivered = rng_chance(&world->rng, 2) ? 100 : 0,
	    .resumable = rng_chance(&world->rng, 2),
	    .reported_load = -1,
	    .content_type = "text/plain",
	    .answer = "done",
	    .answer_len = 4,
	    .forward_execution = pr->forward_execution,
	    .wall_s = wall_s(world)};

	if (pr->ended || event->attempt != pr->attempt)
		return;
	pr->attempt++;
	if (outcome.result == GATE_ATTEMPT_CANCELLED &&
	    pr->result == GATE_ATTEMPT_UNSENT &&
	    event->kind == EVENT_ATTEMPT_END)
		outcome.result = GATE_ATTEMPT_UNSENT;
	if (world->fault == FAULT_FALSE_UNSENT &&
	    outcome.result == GATE_ATTEMPT_LOST)
		outcome.result = GATE_ATTEMPT_UNSENT;
	outcome.used = rng_chance(&world->rng, 4)
			   ? -1
			   : rng_below(&world->rng, pr->request->cost + 1);
	used_record(pr, &outcome);
	if (world->fault == FAULT_FREE_TOKENS)
		outcome.used = 0;
	if (outcome.result == GATE_ATTEMPT_LOST && pr->target >= 0)
		loss_record(world, pr);
	if (world->fault != FAULT_EARLY_END)
		attempt_release(world, pr);
	gate_attempt_ended(world->processes[pr->process].gate, pr->id, &outcome,
	    local_time(world, pr->process), actions);
}
