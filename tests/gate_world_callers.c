#include "gate_world_internal.h"

#include <string.h>

static process_request_t *
process_request_new(world_t *world, int process, caller_request_t *request,
    process_request_t *parent)
{
	process_request_t *pr = g_new0(process_request_t, 1);

	pr->process = process;
	pr->request = request;
	pr->parent = parent;
	pr->target = -1;
	g_ptr_array_add(world->process_requests, pr);
	return pr;
}

static gate_body_t
request_body(const world_t *world, const caller_request_t *request)
{
	gate_body_t body = {.cost = request->cost,
	    .prefix_hash = (uint64_t)request->body,
	    .ticket = request->ticket ? request->ticket->text : NULL,
	    .wall_s = wall_s(world)};

	memset(body.digest, request->body + 1, DIGEST_BYTES);
	if (world->fault == FAULT_NEW_DIGEST)
		memcpy(body.digest, &world->sequence, sizeof(world->sequence));
	return body;
}

/* Opens and submits a request at a process. */
static void
process_request_start(world_t *world, int process, caller_request_t *request,
    process_request_t *parent, int sender, GArray *actions)
{
	process_t *proc = &world->processes[process];
	time_us_t now = local_time(world, process);
	process_request_t *pr =
	    process_request_new(world, process, request, parent);
	bool forward =
	    parent != NULL && world->fault != FAULT_FORWARD_AS_CALLER;
	char team[8];
	uint8_t hash[KEY_HASH_BYTES];
	gate_head_t head = {.method = request->post ? "POST" : "GET",
	    .service = request->service,
	    .path = request->ticket ? "/orders" : "/x",
	    .key_hash = forward ? NULL : hash,
	    .forwarded_team = team,
	    .forwarded_by = parent ? instance_names[sender] : NULL,
	    .forwarded = forward,
	    .deadline = now + 6 * US_PER_S,
	    .user = pr};
	gate_body_t body = request_body(world, request);
	refusal_t reason;
	execution_t ran;

	g_snprintf(team, sizeof(team), "t%d", request->team);
	key_hash(request->key, hash);
	if (parent != NULL)
		parent->child = pr;
	reason = gate_open(proc->gate, &head, now, &pr->id);
	if (reason == REFUSAL_NONE) {
		gate_submit(proc->gate, pr->id, &body, now, actions);
		return;
	}
	pr->ended = true;
	ran =
	    gate_execution(proc->gate, reason, team, body.ticket, body.wall_s);
	if (ran == EXECUTION_NOT_RUN)
		check_not_run(world, request, true, "a refused head");
	if (parent != NULL)
		child_answer(
		    world, parent, parent->attempt, GATE_ATTEMPT_OK, ran);
}

static ticket_t *
ticket_draw(world_t *world, int process, int team)
{
	ticket_t *ticket;
	char name[8];

	if (world->tickets->len > 0 && rng_chance(&world->rng, 3))
		return world->tickets
		    ->pdata[rng_below(&world->rng, world->tickets->len)];
	if (world->tickets->len > 0 && rng_chance(&world->rng, 2)) {
		/* Orders of recent tickets are more likely to be running. */
		guint back = (guint)rng_below(
		    &world->rng, MIN((int64_t)world->tickets->len, 6));

		return world->tickets->pdata[world->tickets->len - 1 - back];
	}
	ticket = g_new0(ticket_t, 1);
	g_snprintf(name, sizeof(name), "t%d", team);
	ticket->team = team;
	ticket->body =
	    N_POISON + (int)rng_below(&world->rng, N_BODIES - N_POISON);
	if (!gate_ticket(world->processes[process].gate, name, wall_s(world),
		ticket->text)) {
		g_free(ticket);
		return NULL;
	}
	g_ptr_array_add(world->tickets, ticket);
	return ticket;
}

/* Most callers use an instance of their home region. */
static int
team_draw(world_t *world, int process)
{
	int team = (int)rng_below(&world->rng, N_TEAMS);
	int home = world->home[team];

	if (home < 0 ||
	    home == instance_zones[world->processes[process].name] ||
	    rng_chance(&world->rng, 4))
		return team;
	return (int)rng_below(&world->rng, N_TEAMS);
}

void
on_request(world_t *world, int process, GArray *actions)
{
	caller_request_t *request = g_new0(caller_request_t, 1);
	bool poison = rng_chance(&world->rng, 25);

	world_totals.requests++;
	g_ptr_array_add(world->requests, request);
	request->team = team_draw(world, process);
	request->service = rng_chance(&world->rng, 3) ? "p" : "e";
	request->post =
	    request->service[0] == 'e' || !rng_chance(&world->rng, 4);
	request->body =
	    N_POISON + (int)rng_below(&world->rng, N_BODIES - N_POISON);
	if (request->service[0] == 'p' && request->post &&
	    rng_chance(&world->rng, 2)) {
		request->ticket = ticket_draw(world, process, request->team);
		if (request->ticket != NULL) {
			request->team = request->ticket->team;
			request->body = request->ticket->body;
			world_totals.orders++;
		}
	} else if (poison) {
		request->body = (int)rng_below(&world->rng, N_POISON);
	}
	request->cost =
	    request->service[0] == 'p' ? 1 : 5 + rng_below(&world->rng, 35);
	request->key = request->team +
		       N_TEAMS * (int)rng_below(&world->rng, N_KEYS / N_TEAMS);
	process_request_start(world, process, request, NULL, 0, actions);
}

void
on_forwarded(world_t *world, int process, const event_t *event, GArray *actions)
{
	process_request_t *parent = event->request;

	process_request_start(
	    world, process, parent->request, parent, event->from, actions);
}

void
requests_schedule(world_t *world)
{
	for (time_us_t at = WARM_US; at < WARM_US + TRAFFIC_US;
	     at += rng_below(&world->rng, 600 * US_PER_MS)) {
		int64_t n = 1 + rng_below(&world->rng, 6);

		while (n-- > 0)
			event_put(world,
			    at + rng_below(&world->rng, 30 * US_PER_MS),
			    (event_t){.kind = EVENT_REQUEST,
				.process = -1,
				.name = (int)rng_below(&world->rng, N_NAMES)});
	}
}
