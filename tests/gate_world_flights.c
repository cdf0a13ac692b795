#include "gate_world_internal.h"

#include <string.h>

void
attempt_release(world_t *w, flight_log_t *f)
{
	if (f->target >= 0) {
		w->in_flight[f->target]--;
		w->processes[f->process].in_flight[f->target]--;
	}
	f->target = -1;
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

static flight_result_t
draw_result(world_t *w, const request_t *r)
{
	int64_t roll = rng_below(&w->rng, 100);

	if (roll < 12)
		return FLIGHT_UNSENT;
	if (r->body < N_POISON || roll < 22)
		return FLIGHT_LOST;
	return roll < 26 ? FLIGHT_TIMEOUT : FLIGHT_OK;
}

static void
attempt_written(world_t *w, flight_log_t *f)
{
	request_t *r = f->request;

	r->written = true;
	if (r->ticket != NULL && ++r->ticket->written > 1)
		violate(w, "order: sent twice");
}

static void
action_send(world_t *w, flight_log_t *f, const gate_action_t *action)
{
	event_t end = {.kind = EVENT_END, .process = f->process, .flight = f};
	int target = target_index(action->u.send.url);
	time_us_t takes = 5 * US_PER_MS + rng_below(&w->rng, 300 * US_PER_MS);

	world_totals.sends++;
	attempt_release(w, f);
	f->target = target;
	f->sent_at = w->now;
	w->in_flight[target]++;
	w->processes[f->process].in_flight[target]++;
	check_slots(w, f->process, target);
	check_key(w, f);
	check_home(w, f, model_targets[target].zone);
	check_poison(w, f);
	if (model_targets[target].zone !=
	    instance_zones[w->processes[f->process].name])
		violate(w, "zone: sent to a target of another zone");
	f->result = draw_result(w, f->request);
	if (f->result != FLIGHT_UNSENT)
		attempt_written(w, f);
	if (rng_chance(&w->rng, 12))
		takes += rng_below(&w->rng, 4 * US_PER_S);
	if (f->result == FLIGHT_UNSENT)
		takes /= 20;
	end.attempt = ++f->attempt;
	end.result = f->result;
	if (w->fault != FAULT_LOST_RESULT || !rng_chance(&w->rng, 20))
		event_put(w, takes, end);
	if (w->fault == FAULT_EARLY_END)
		event_put(w, takes / 4, end);
}

static void
action_forward(world_t *w, flight_log_t *f, const gate_action_t *action)
{
	int to = name_index(action->u.forward.http);
	int from = w->processes[f->process].name;
	event_t hop = {
	    .kind = EVENT_HOP, .process = -1, .name = to, .flight = f};
	event_t end = {
	    .kind = EVENT_ANSWER, .process = f->process, .flight = f};

	world_totals.forwards++;
	if (f->parent != NULL)
		violate(w, "hop: forwarded twice");
	check_home(w, f, instance_zones[to]);
	hop.from = from;
	hop.attempt = end.attempt = ++f->attempt;
	end.result = FLIGHT_UNSENT;
	if (link_is_cut(w, from, to) || rng_chance(&w->rng, 15)) {
		event_put(w, US_PER_S, end);
		return;
	}
	event_put(w, link_delay(w), hop);
	if (!rng_chance(&w->rng, 15))
		return;
	/* The answer is lost or too late. */
	end.result = FLIGHT_TIMEOUT;
	event_put(w, rng_below(&w->rng, US_PER_S), end);
}

void
child_answer(world_t *w, flight_log_t *parent, unsigned int attempt,
    flight_result_t result, ran_t ran)
{
	if (parent == NULL || parent->attempt != attempt || parent->ended)
		return;
	parent->forward_ran = ran;
	event_put(w, link_delay(w),
	    (event_t){.kind = EVENT_ANSWER,
		.process = parent->process,
		.flight = parent,
		.attempt = attempt,
		.result = result});
}

void
child_abort(world_t *w, const flight_log_t *f)
{
	if (f->child != NULL)
		event_put(w, link_delay(w),
		    (event_t){.kind = EVENT_ABORT,
			.process = f->child->process,
			.flight = f->child});
}

static void
flight_end(world_t *w, flight_log_t *f, bool whole, ran_t ran)
{
	if (f->ended)
		violate(w, "end: a request ended twice");
	f->ended = true;
	attempt_release(w, f);
	if (f->parent != NULL)
		child_answer(w, f->parent, f->parent->attempt,
		    whole ? FLIGHT_OK : FLIGHT_LOST, ran);
}

static void
action_refuse(world_t *w, flight_log_t *f, const gate_action_t *action)
{
	world_totals.refusals++;
	if (action->u.refuse.reason == REFUSAL_KEY_WITHDRAWN)
		world_totals.withdrawn++;
	if (action->u.refuse.ran == RAN_NOT_RUN)
		check_not_run(w, f->request, true, "a refusal");
	/* Tokens used at a target are charged even if the answer is refused. */
	admission_settle(w, f, f->used);
	flight_end(w, f, true, action->u.refuse.ran);
}

static void
action_done(world_t *w, flight_log_t *f)
{
	bool refused = f->attempt != 0 && f->forward_ran == RAN_NOT_RUN &&
		       f->child != NULL;

	world_totals.done++;
	if (refused && f->parent == NULL)
		check_not_run(w, f->request, false, "another instance");
	admission_settle(w, f, f->used);
	flight_end(w, f, true, RAN_COMPLETED);
}

static void
action_cancel(world_t *w, flight_log_t *f)
{
	event_t end = {.kind = f->target >= 0 ? EVENT_END : EVENT_ANSWER,
	    .process = f->process,
	    .flight = f,
	    .attempt = f->attempt,
	    .result = FLIGHT_CANCELLED};

	event_put(w, rng_below(&w->rng, 20 * US_PER_MS), end);
	child_abort(w, f);
}

static void
action_flight(world_t *w, const gate_action_t *action)
{
	flight_log_t *f = action->user;

	if (f->ended)
		violate(w, "end: an action for a request that has ended");
	switch (action->kind) {
	case ACTION_SEND:
		action_send(w, f, action);
		break;
	case ACTION_FORWARD:
		action_forward(w, f, action);
		break;
	case ACTION_REFUSE:
		action_refuse(w, f, action);
		break;
	case ACTION_REPLAY:
		world_totals.replays++;
		if (action->u.replay.answer != NULL)
			g_bytes_unref(action->u.replay.answer);
		flight_end(w, f, true, RAN_COMPLETED);
		break;
	case ACTION_DONE:
		action_done(w, f);
		break;
	case ACTION_CANCEL:
		action_cancel(w, f);
		break;
	default:
		break;
	}
}

void
actions_run(world_t *w, int process, GArray *actions)
{
	/* Before sends: a request can be charged, sent and ended in one call.
	 */
	check_admissions(w, process);
	for (guint i = 0; i < actions->len; i++) {
		const gate_action_t *action =
		    &g_array_index(actions, gate_action_t, i);

		if (action->user == NULL) {
			action_peer(w, process, action);
			continue;
		}
		action_flight(w, action);
		if (w->fault == FAULT_TWICE && action->kind == ACTION_REFUSE)
			action_flight(w, action);
	}
	g_array_set_size(actions, 0);
}

/* Records the tokens to charge; all reserved ones if usage is unknown. */
static void
used_note(flight_log_t *f, const flight_outcome_t *outcome)
{
	bool hop = f->target < 0;

	if (outcome->result == FLIGHT_UNSENT)
		return;
	f->used = outcome->used < 0 ? f->request->cost : outcome->used;
	if (hop && outcome->result == FLIGHT_OK &&
	    outcome->forward_ran == RAN_NOT_RUN)
		f->used = 0;
}

void
on_end(world_t *w, const event_t *event, GArray *actions)
{
	flight_log_t *f = event->flight;
	flight_outcome_t outcome = {.result = event->result,
	    .status = 200,
	    .delivered = rng_chance(&w->rng, 2) ? 100 : 0,
	    .resumable = rng_chance(&w->rng, 2),
	    .reported_load = -1,
	    .content_type = "text/plain",
	    .answer = "done",
	    .answer_len = 4,
	    .forward_ran = f->forward_ran,
	    .wall_s = wall_s(w)};

	if (f->ended || event->attempt != f->attempt)
		return;
	f->attempt++;
	if (outcome.result == FLIGHT_CANCELLED && f->result == FLIGHT_UNSENT &&
	    event->kind == EVENT_END)
		outcome.result = FLIGHT_UNSENT;
	if (w->fault == FAULT_FALSE_UNSENT && outcome.result == FLIGHT_LOST)
		outcome.result = FLIGHT_UNSENT;
	outcome.used = rng_chance(&w->rng, 4)
			   ? -1
			   : rng_below(&w->rng, f->request->cost + 1);
	used_note(f, &outcome);
	if (w->fault == FAULT_FREE_TOKENS)
		outcome.used = 0;
	if (outcome.result == FLIGHT_LOST && f->target >= 0)
		loss_note(w, f);
	if (w->fault != FAULT_EARLY_END)
		attempt_release(w, f);
	gate_result(w->processes[f->process].gate, f->id, &outcome,
	    local_time(w, f->process), actions);
}
