#include "gate_world_internal.h"

#include <inttypes.h>
#include <stdarg.h>

void G_GNUC_PRINTF(2, 3) violate(world_t *world, const char *format, ...)
{
	va_list args;

	if (world->violation[0] != '\0')
		return;
	va_start(args, format);
	vsnprintf(world->violation, sizeof(world->violation), format, args);
	va_end(args);
}

static void
check_windows(world_t *world, int team)
{
	const GArray *all = world->admissions[team];
	int64_t sum = 0;

	/* Each window begins at an admission and ends now. */
	for (guint i = all->len; i-- > 0;) {
		const admission_t *a = &g_array_index(all, admission_t, i);
		double limit =
		    BURST + RATE * (double)(world->now - a->at) / US_PER_S;

		sum += a->tokens;
		if ((double)sum > limit + 1)
			violate(world,
			    "rate: team %d, %" PRId64 " tokens, limit %.1f",
			    team, sum, limit);
	}
}

void
check_admissions(world_t *world, int process)
{
	for (guint i = 0; i < world->process_requests->len; i++) {
		process_request_t *pr = world->process_requests->pdata[i];
		const gate_request_t *request;
		admission_t a = {world->now, pr->request->cost};
		GArray *all = world->admissions[pr->request->team];

		if (pr->process != process || pr->ended || pr->admitted ||
		    pr->parent != NULL)
			continue;
		request = gate_request(world->processes[process].gate, pr->id);
		if (request == NULL || !request->charged)
			continue;
		pr->admitted = true;
		pr->admission = all->len;
		g_array_append_val(all, a);
		check_windows(world, pr->request->team);
	}
}

void
admission_settle(world_t *world, process_request_t *pr, int64_t used)
{
	if (!pr->admitted)
		return;
	if (world->fault == FAULT_FREE_TOKENS && pr->request->written)
		used = pr->request->cost;
	g_array_index(
	    world->admissions[pr->request->team], admission_t, pr->admission)
	    .tokens = used;
}

void
check_key(world_t *world, const process_request_t *pr)
{
	const process_t *proc = &world->processes[pr->process];
	const plans_t *plans = world->plans[proc->plans];
	uint8_t hash[KEY_HASH_BYTES];

	key_hash(pr->request->key, hash);
	/* Only the instance that received the key checks it, and cancels a
	 * forward. */
	if (pr->parent == NULL && plans_find_key(plans, hash) == NULL &&
	    world->now - proc->plans_at > RECHECK_US)
		violate(world, "key: sent with a withdrawn key");
}

void
check_home(world_t *world, const process_request_t *pr, int zone)
{
	const plans_t *plans =
	    world->plans[world->processes[pr->process].plans];
	const char *home = plans->teams[pr->request->team].home;

	if (home != NULL && home[1] != '0' + zone)
		violate(
		    world, "home: team %d in zone %d", pr->request->team, zone);
}

void
loss_record(world_t *world, const process_request_t *pr)
{
	process_t *proc = &world->processes[pr->process];
	int body = pr->request->body;
	time_us_t *at = &proc->lost_at[body][pr->target];

	if (*at != 0 && pr->sent_at <= *at)
		return;
	*at = world->now;
	proc->lost[body]++;
}

void
check_poison(world_t *world, const process_request_t *pr)
{
	int body = pr->request->body;

	if (body >= N_POISON)
		return;
	world_totals.poison_sends++;
	if (world->processes[pr->process].lost[body] >= POISON_LIMIT)
		violate(world, "poison: body %d sent after two losses", body);
}

void
check_not_run(world_t *world, const caller_request_t *request, bool stated_here,
    const char *by)
{
	if (request->written || (stated_here && request->ticket != NULL &&
				    request->ticket->written > 0))
		violate(
		    world, "not_run: stated by %s, but bytes were written", by);
}

static uint32_t
slot_share(const world_t *world, int process, int target)
{
	target_t wanted = {.name = (char *)model_targets[target].name,
	    .zone = (char *)zone_names[model_targets[target].zone],
	    .slots = model_targets[target].slots};

	return membership_slots(world->processes[process].gate->membership,
	    &wanted, local_time(world, process));
}

void
check_slots(world_t *world, int process, int target)
{
	uint32_t shares = 0;

	for (int i = 0; i < world->n_processes; i++) {
		if (world->processes[i].alive)
			shares += slot_share(world, i, target);
	}
	if (shares > model_targets[target].slots)
		violate(world, "slots: shares add up to %u at %s", shares,
		    model_targets[target].name);
	if (world->processes[process].in_flight[target] >
	    slot_share(world, process, target))
		violate(world, "slots: an instance exceeds its share at %s",
		    model_targets[target].name);
	if (world_strict_slots &&
	    world->in_flight[target] > model_targets[target].slots)
		violate(world, "slots: %u requests in flight at %s",
		    world->in_flight[target], model_targets[target].name);
}

void
check_ended(world_t *world)
{
	for (guint i = 0; i < world->process_requests->len; i++) {
		const process_request_t *pr = world->process_requests->pdata[i];

		if (!pr->ended)
			violate(world, "end: a request never ended");
	}
	for (int i = 0; i < world->n_processes; i++) {
		if (world->processes[i].alive &&
		    gate_n_requests(world->processes[i].gate) != 0)
			violate(world, "end: a gate holds an unknown request");
	}
}
