#include "gate_world_internal.h"

#include <string.h>

static flight_log_t *
flight_log_new(world_t *w, int process, request_t *r, flight_log_t *parent)
{
	flight_log_t *f = g_new0(flight_log_t, 1);

	f->process = process;
	f->request = r;
	f->parent = parent;
	f->target = -1;
	g_ptr_array_add(w->flights, f);
	return f;
}

static gate_body_t
body_of(const world_t *w, const request_t *r)
{
	gate_body_t body = {.cost = r->cost,
	    .prefix_hash = (uint64_t)r->body,
	    .ticket = r->ticket ? r->ticket->text : NULL,
	    .wall_s = wall_s(w)};

	memset(body.digest, r->body + 1, DIGEST_BYTES);
	if (w->fault == FAULT_NEW_DIGEST)
		memcpy(body.digest, &w->order, sizeof(w->order));
	return body;
}

/* Opens and submits a request at a process. */
static void
flight_start(world_t *w, int process, request_t *r, flight_log_t *parent,
    int sender, GArray *actions)
{
	process_t *p = &w->processes[process];
	time_us_t now = local_time(w, process);
	flight_log_t *f = flight_log_new(w, process, r, parent);
	bool hop = parent != NULL && w->fault != FAULT_HOP_AS_OWN;
	char team[8];
	uint8_t hash[KEY_HASH_BYTES];
	gate_head_t head = {.method = r->post ? "POST" : "GET",
	    .service = r->service,
	    .path = r->ticket ? "/orders" : "/x",
	    .key_hash = hop ? NULL : hash,
	    .hop_team = team,
	    .hop_sender = parent ? instance_names[sender] : NULL,
	    .forwarded = hop,
	    .deadline = now + 6 * US_PER_S,
	    .user = f};
	gate_body_t body = body_of(w, r);
	refusal_t reason;
	ran_t ran;

	g_snprintf(team, sizeof(team), "t%d", r->team);
	key_hash(r->key, hash);
	if (parent != NULL)
		parent->child = f;
	reason = gate_open(p->gate, &head, now, &f->id);
	if (reason == REFUSAL_NONE) {
		gate_submit(p->gate, f->id, &body, now, actions);
		return;
	}
	f->ended = true;
	ran = gate_ran(p->gate, reason, team, body.ticket, body.wall_s);
	if (ran == RAN_NOT_RUN)
		check_not_run(w, r, true, "a refused head");
	if (parent != NULL)
		child_answer(w, parent, parent->attempt, FLIGHT_OK, ran);
}

static ticket_t *
ticket_draw(world_t *w, int process, int team)
{
	ticket_t *ticket;
	char name[8];

	if (w->tickets->len > 0 && rng_chance(&w->rng, 3))
		return w->tickets->pdata[rng_below(&w->rng, w->tickets->len)];
	if (w->tickets->len > 0 && rng_chance(&w->rng, 2)) {
		/* Orders of recent tickets are more likely to be running. */
		guint back =
		    (guint)rng_below(&w->rng, MIN((int64_t)w->tickets->len, 6));

		return w->tickets->pdata[w->tickets->len - 1 - back];
	}
	ticket = g_new0(ticket_t, 1);
	g_snprintf(name, sizeof(name), "t%d", team);
	ticket->team = team;
	ticket->body = N_POISON + (int)rng_below(&w->rng, N_BODIES - N_POISON);
	if (!gate_ticket(
		w->processes[process].gate, name, wall_s(w), ticket->text)) {
		g_free(ticket);
		return NULL;
	}
	g_ptr_array_add(w->tickets, ticket);
	return ticket;
}

/* Most callers use an instance of their home region. */
static int
team_draw(world_t *w, int process)
{
	int team = (int)rng_below(&w->rng, N_TEAMS);
	int home = w->home[team];

	if (home < 0 || home == instance_zones[w->processes[process].name] ||
	    rng_chance(&w->rng, 4))
		return team;
	return (int)rng_below(&w->rng, N_TEAMS);
}

void
on_request(world_t *w, int process, GArray *actions)
{
	request_t *r = g_new0(request_t, 1);
	bool poison = rng_chance(&w->rng, 25);

	world_totals.requests++;
	g_ptr_array_add(w->requests, r);
	r->team = team_draw(w, process);
	r->service = rng_chance(&w->rng, 3) ? "p" : "e";
	r->post = r->service[0] == 'e' || !rng_chance(&w->rng, 4);
	r->body = N_POISON + (int)rng_below(&w->rng, N_BODIES - N_POISON);
	if (r->service[0] == 'p' && r->post && rng_chance(&w->rng, 2)) {
		r->ticket = ticket_draw(w, process, r->team);
		if (r->ticket != NULL) {
			r->team = r->ticket->team;
			r->body = r->ticket->body;
			world_totals.orders++;
		}
	} else if (poison) {
		r->body = (int)rng_below(&w->rng, N_POISON);
	}
	r->cost = r->service[0] == 'p' ? 1 : 5 + rng_below(&w->rng, 35);
	r->key = r->team + N_TEAMS * (int)rng_below(&w->rng, N_KEYS / N_TEAMS);
	flight_start(w, process, r, NULL, 0, actions);
}

void
on_hop(world_t *w, int process, const event_t *event, GArray *actions)
{
	flight_log_t *parent = event->flight;

	flight_start(w, process, parent->request, parent, event->from, actions);
}

void
requests_plan(world_t *w)
{
	for (time_us_t at = WARM_US; at < WARM_US + TRAFFIC_US;
	     at += rng_below(&w->rng, 600 * US_PER_MS)) {
		int64_t n = 1 + rng_below(&w->rng, 6);

		while (n-- > 0)
			event_put(w, at + rng_below(&w->rng, 30 * US_PER_MS),
			    (event_t){.kind = EVENT_REQUEST,
				.process = -1,
				.name = (int)rng_below(&w->rng, N_NAMES)});
	}
}
