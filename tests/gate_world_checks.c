#include "gate_world_internal.h"

#include <inttypes.h>
#include <stdarg.h>

void G_GNUC_PRINTF(2, 3) violate(world_t *w, const char *format, ...)
{
	va_list args;

	if (w->violation[0] != '\0')
		return;
	va_start(args, format);
	vsnprintf(w->violation, sizeof(w->violation), format, args);
	va_end(args);
}

static void
check_windows(world_t *w, int team)
{
	const GArray *all = w->admissions[team];
	int64_t sum = 0;

	/* Each window begins at an admission and ends now. */
	for (guint i = all->len; i-- > 0;) {
		const admission_t *a = &g_array_index(all, admission_t, i);
		double limit =
		    BURST + RATE * (double)(w->now - a->at) / US_PER_S;

		sum += a->tokens;
		if ((double)sum > limit + 1)
			violate(w,
			    "rate: team %d, %" PRId64 " tokens, limit %.1f",
			    team, sum, limit);
	}
}

void
check_admissions(world_t *w, int process)
{
	for (guint i = 0; i < w->flights->len; i++) {
		flight_log_t *f = w->flights->pdata[i];
		const flight_t *flight;
		admission_t a = {w->now, f->request->cost};
		GArray *all = w->admissions[f->request->team];

		if (f->process != process || f->ended || f->admitted ||
		    f->parent != NULL)
			continue;
		flight = gate_flight(w->processes[process].gate, f->id);
		if (flight == NULL || !flight->charged)
			continue;
		f->admitted = true;
		f->admission = all->len;
		g_array_append_val(all, a);
		check_windows(w, f->request->team);
	}
}

void
admission_settle(world_t *w, flight_log_t *f, int64_t used)
{
	if (!f->admitted)
		return;
	if (w->fault == FAULT_FREE_TOKENS && f->request->written)
		used = f->request->cost;
	g_array_index(
	    w->admissions[f->request->team], admission_t, f->admission)
	    .tokens = used;
}

void
check_key(world_t *w, const flight_log_t *f)
{
	const process_t *p = &w->processes[f->process];
	const plans_t *plans = w->plans[p->plans];
	uint8_t hash[KEY_HASH_BYTES];

	key_hash(f->request->key, hash);
	/* Only the instance that received the key checks it, and cancels a
	 * forward. */
	if (f->parent == NULL && plans_find_key(plans, hash) == NULL &&
	    w->now - p->plans_at > RECHECK_US)
		violate(w, "key: sent with a withdrawn key");
}

void
check_home(world_t *w, const flight_log_t *f, int zone)
{
	const plans_t *plans = w->plans[w->processes[f->process].plans];
	const char *home = plans->teams[f->request->team].home;

	if (home != NULL && home[1] != '0' + zone)
		violate(w, "home: team %d in zone %d", f->request->team, zone);
}

void
loss_note(world_t *w, const flight_log_t *f)
{
	process_t *p = &w->processes[f->process];
	int body = f->request->body;
	time_us_t *at = &p->lost_at[body][f->target];

	if (*at != 0 && f->sent_at <= *at)
		return;
	*at = w->now;
	p->lost[body]++;
}

void
check_poison(world_t *w, const flight_log_t *f)
{
	int body = f->request->body;

	if (body >= N_POISON)
		return;
	world_totals.poison_sends++;
	if (w->processes[f->process].lost[body] >= POISON_LIMIT)
		violate(w, "poison: body %d sent after two losses", body);
}

void
check_not_run(world_t *w, const request_t *r, bool made_here, const char *by)
{
	if (r->written ||
	    (made_here && r->ticket != NULL && r->ticket->written > 0))
		violate(w, "not_run: stated by %s, but bytes were written", by);
}

static uint32_t
own_slots(const world_t *w, int process, int target)
{
	target_t wanted = {.name = (char *)model_targets[target].name,
	    .zone = (char *)zone_names[model_targets[target].zone],
	    .slots = model_targets[target].slots};

	return membership_slots(w->processes[process].gate->membership, &wanted,
	    local_time(w, process));
}

void
check_slots(world_t *w, int process, int target)
{
	uint32_t parts = 0;

	for (int i = 0; i < w->n_processes; i++) {
		if (w->processes[i].alive)
			parts += own_slots(w, i, target);
	}
	if (parts > model_targets[target].slots)
		violate(w, "slots: shares add up to %u at %s", parts,
		    model_targets[target].name);
	if (w->processes[process].in_flight[target] >
	    own_slots(w, process, target))
		violate(w, "slots: an instance exceeds its share at %s",
		    model_targets[target].name);
	if (world_strict_slots &&
	    w->in_flight[target] > model_targets[target].slots)
		violate(w, "slots: %u requests in flight at %s",
		    w->in_flight[target], model_targets[target].name);
}

void
check_ended(world_t *w)
{
	for (guint i = 0; i < w->flights->len; i++) {
		const flight_log_t *f = w->flights->pdata[i];

		if (!f->ended)
			violate(w, "end: a request never ended");
	}
	for (int i = 0; i < w->n_processes; i++) {
		if (w->processes[i].alive &&
		    gate_flights(w->processes[i].gate) != 0)
			violate(w, "end: a gate holds an unknown request");
	}
}
