#include "core/limiter.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Share that a lender keeps and a borrower requests, relative to demand. */
#define LENDER_MARGIN 1.1
#define BORROWER_MARGIN 1.25
/* A loan of less than 1/1024 of the team's rate is not worth a message. */
#define LOAN_MIN_SHARE (SHARE_ONE / 1024)

typedef struct {
	bucket_t *bucket;
	int64_t rate;	    /* of the whole team, tokens a second */
	int64_t burst;	    /* of the whole team, tokens */
	share_t own_unlent; /* own share less the lent one, as last applied */
	uint64_t epoch;
	/* Tokens a second at demand_at; demand is smoothed over DEMAND_TAU_US,
	 * recent over DEMAND_RECENT_TAU_US. */
	double demand;
	double recent;
	time_us_t demand_at;
	time_us_t used_at;
	int64_t waiting_tokens;	  /* largest request that waits for tokens */
	time_us_t waiting_until;  /* that request has given up by then */
	uint64_t last_request_id; /* id of the latest loan request */
	unsigned int unanswered;  /* loan requests since the last reply */
	bool request_refused;	  /* the last reply granted nothing */
	time_us_t next_request_at;
} entry_t;

struct limiter {
	membership_t *m;
	loans_t *loans;
	char name[NAME_LIMIT + 1];
	incarnation_t incarnation;
	uint64_t last_request_id;
	GHashTable *teams; /* name -> entry_t */
};

/* Time constant of the estimate that follows load changes quickly. */
#define DEMAND_RECENT_TAU_US (1 * US_PER_S)
/* Recent demand counts for loans when the tokens last for less than this. */
#define LOAN_LOOKAHEAD_US (500 * US_PER_MS)

/* Interval of loan requests for a team with too few tokens. */
#define LOAN_REQUEST_INTERVAL_US (40 * US_PER_MS)
/* After this many unanswered loan requests, they no longer overlap. */
#define LOAN_UNANSWERED_LIMIT 8

static void
entry_destroy(gpointer data)
{
	entry_t *entry = data;

	bucket_destroy(entry->bucket);
	g_free(entry);
}

typedef struct {
	const limiter_t *a;
	uint64_t largest;
} lent_visit_t;

static void
lent_visit(const char *team, share_t lent, void *data)
{
	lent_visit_t *visit = data;
	uint64_t zone_share = membership_zone_share_newest(visit->a->m, team);
	uint64_t share = UINT32_MAX;

	if (zone_share > 0)
		share =
		    ((uint64_t)lent * SHARE_ONE + zone_share - 1) / zone_share;
	visit->largest = MAX(visit->largest, share);
}

static share_t
max_lent_share(void *context)
{
	lent_visit_t visit = {context, 0};

	loan_each_lent(((limiter_t *)context)->loans, lent_visit, &visit);
	return (share_t)MIN(visit.largest, UINT32_MAX);
}

limiter_t *
limiter_create(membership_t *m, const char *name, incarnation_t incarnation)
{
	limiter_t *a = g_new0(limiter_t, 1);

	a->m = m;
	a->incarnation = incarnation;
	g_strlcpy(a->name, name, sizeof(a->name));
	a->loans = loans_create(incarnation);
	a->teams = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, entry_destroy);
	membership_set_lent_source(m, max_lent_share, a);
	return a;
}

void
limiter_destroy(limiter_t *a)
{
	if (a == NULL)
		return;
	membership_set_lent_source(a->m, NULL, NULL);
	loans_destroy(a->loans);
	g_hash_table_destroy(a->teams);
	g_free(a);
}

/* Returns amount x share, in micro-tokens. */
static int64_t
scale_by_share(int64_t amount, share_t share)
{
	return (int64_t)((__int128)amount * TOKEN_MICRO * share / SHARE_ONE);
}

static void
entry_set_limits(entry_t *entry, share_t share, time_us_t now)
{
	bucket_set_limits(entry->bucket, scale_by_share(entry->rate, share),
	    scale_by_share(entry->burst, share), now);
}

static share_t
own_minus_lent(limiter_t *a, const char *team, time_us_t now)
{
	share_t own = membership_team_share(a->m, team, now);
	share_t lent = loan_lent(a->loans, team);

	return own > lent ? own - lent : 0;
}

/*
 * Updates the limits of a bucket. Each loan that has ended is applied at the
 * time of its end, with the own share as known then; an increased own share
 * counts only from now on.
 */
static void
entry_refresh(limiter_t *a, const char *team, entry_t *entry, time_us_t now)
{
	const plan_t *plan = membership_plan(a->m, team);
	uint64_t epoch = membership_epoch(a->m, now);
	time_us_t end;

	while ((end = loan_next_end(a->loans, team)) <= now) {
		loan_expire_team(a->loans, team, end);
		entry_set_limits(entry,
		    entry->own_unlent + loan_borrowed(a->loans, team), end);
	}
	loan_expire_team(a->loans, team, now);
	/* A new epoch means that the own share was lost in between, so that the
	 * tokens gathered under it no longer count. */
	if (entry->epoch != epoch)
		bucket_set_limits(entry->bucket, 0, 0, now);
	entry->epoch = epoch;
	entry->rate = plan == NULL ? 0 : plan->rate;
	entry->burst = plan == NULL ? 0 : plan->burst;
	entry->own_unlent = own_minus_lent(a, team, now);
	entry_set_limits(
	    entry, entry->own_unlent + loan_borrowed(a->loans, team), now);
}

static entry_t *
entry_find(limiter_t *a, const char *team, time_us_t now)
{
	entry_t *entry = g_hash_table_lookup(a->teams, team);

	if (entry != NULL)
		entry_refresh(a, team, entry, now);
	return entry;
}

/* Returns the entry of a team, or NULL for a team in none of the lists. */
static entry_t *
entry_ensure(limiter_t *a, const char *team, time_us_t now)
{
	entry_t *entry = entry_find(a, team, now);
	time_us_t since;

	if (entry != NULL || membership_plan(a->m, team) == NULL)
		return entry;
	entry = g_new0(entry_t, 1);
	since = MIN(membership_raised_at(a->m, team), now);
	entry->bucket = bucket_create(since);
	entry->epoch = membership_epoch(a->m, now);
	entry->demand_at = now;
	entry->used_at = now;
	entry->rate = membership_plan(a->m, team)->rate;
	entry->burst = membership_plan(a->m, team)->burst;
	entry->own_unlent = own_minus_lent(a, team, now);
	/* A team without an entry has been idle, so its bucket has refilled
	 * since the share last rose. */
	entry_set_limits(entry, entry->own_unlent, since);
	g_hash_table_insert(a->teams, g_strdup(team), entry);
	entry_refresh(a, team, entry, now);
	return entry;
}

static gboolean
refresh_visit(gpointer team, gpointer entry, gpointer data)
{
	void **arguments = data;

	entry_refresh(arguments[0], team, entry, *(time_us_t *)arguments[1]);
	return FALSE;
}

static void
limiter_refresh(limiter_t *a, time_us_t now)
{
	void *arguments[] = {a, &now};

	g_hash_table_foreach_remove(a->teams, refresh_visit, arguments);
}

void
limiter_adopt(limiter_t *a, fleet_t *fleet, plans_t *plans,
    allowances_t *allowances, time_us_t now)
{
	membership_adopt(a->m, fleet, plans, allowances, now);
	limiter_refresh(a, now);
}

static void
demand_decay(entry_t *entry, time_us_t now)
{
	if (now <= entry->demand_at)
		return;
	entry->demand *= exp(-(double)(now - entry->demand_at) / DEMAND_TAU_US);
	entry->recent *=
	    exp(-(double)(now - entry->demand_at) / DEMAND_RECENT_TAU_US);
	entry->demand_at = now;
}

static void
demand_add(entry_t *entry, double tokens, time_us_t now)
{
	demand_decay(entry, now);
	entry->demand += tokens * US_PER_S / DEMAND_TAU_US;
	entry->demand = MAX(entry->demand, 0);
	/* Unused tokens are not subtracted here: they were reserved in the time
	 * that the recent demand covers. */
	if (tokens > 0)
		entry->recent += tokens * US_PER_S / DEMAND_RECENT_TAU_US;
}

/* Returns demand x margin as a share of the team's rate, at most SHARE_ONE. */
static share_t
demand_share(const entry_t *entry, double demand, double margin)
{
	double share;

	if (entry->rate <= 0)
		return 0;
	share = demand * margin / (double)entry->rate;
	return share >= 1 ? SHARE_ONE : (share_t)(share * SHARE_ONE);
}

static limiter_result_t
result_wait(entry_t *entry, int64_t tokens, time_us_t now)
{
	limiter_result_t result = {.verdict = LIMITER_WAIT};
	int64_t missing;

	result.ready_at =
	    bucket_ready_at(entry->bucket, tokens * TOKEN_MICRO, now);
	result.needs_loan = entry->own_unlent < SHARE_ONE;
	if (result.ready_at != INT64_MAX)
		return result;
	/* With loans, the missing tokens come at the team's whole rate. */
	missing = tokens - bucket_level(entry->bucket, now) / TOKEN_MICRO;
	result.ready_at = now + TOKEN_MAX_WAIT_US;
	if (entry->rate > 0)
		result.ready_at += missing * US_PER_S / entry->rate;
	return result;
}

limiter_result_t
limiter_reserve(
    limiter_t *a, const char *team, int64_t tokens, bool first, time_us_t now)
{
	limiter_result_t result = {.verdict = LIMITER_NEVER};
	entry_t *entry = entry_ensure(a, team, now);

	if (entry == NULL || tokens < 0 || tokens > entry->burst)
		return result;
	entry->used_at = now;
	if (first)
		demand_add(entry, (double)tokens, now);
	result.above_rate = bucket_is_low(entry->bucket, now);
	if (bucket_reserve(entry->bucket, tokens * TOKEN_MICRO, now,
		&result.reservation)) {
		result.verdict = LIMITER_ADMITTED;
		if (tokens >= entry->waiting_tokens)
			entry->waiting_tokens = 0;
		return result;
	}
	entry->waiting_tokens = MAX(entry->waiting_tokens, tokens);
	entry->waiting_until = now + TOKEN_MAX_WAIT_US;
	return result_wait(entry, tokens, now);
}

void
limiter_settle(limiter_t *a, const char *team, reservation_t *reservation,
    int64_t used, time_us_t now)
{
	entry_t *entry = entry_find(a, team, now);
	int64_t unused = reservation->tokens / TOKEN_MICRO - used;

	if (entry == NULL || reservation->id == 0)
		return;
	bucket_settle(entry->bucket, reservation, used * TOKEN_MICRO, now);
	if (unused > 0)
		demand_add(entry, -(double)unused, now);
}

/* Returns the smoothed demand, capped so that it drops soon after the load. */
static double
demand_now(entry_t *entry, time_us_t now)
{
	demand_decay(entry, now);
	return MIN(entry->demand, 2 * entry->recent);
}

static bool
tokens_run_out_soon(entry_t *entry, time_us_t now)
{
	double needed = entry->recent * (LOAN_LOOKAHEAD_US / (double)US_PER_S) *
			TOKEN_MICRO;

	return (double)bucket_level(entry->bucket, now) < needed;
}

/* Returns the share that serves the demand and the largest waiting request. */
static share_t
entry_wanted_share(entry_t *entry, time_us_t now)
{
	double demand = demand_now(entry, now);
	share_t share;

	/* A load that has just started needs loans before the tokens run out,
	 * which the slower estimate would notice too late. */
	if (tokens_run_out_soon(entry, now))
		demand = MAX(demand, entry->recent);
	share = demand_share(entry, demand, BORROWER_MARGIN);
	if (now >= entry->waiting_until)
		entry->waiting_tokens = 0;
	if (entry->waiting_tokens > 0 && entry->burst > 0) {
		uint64_t tokens = MIN(entry->waiting_tokens, entry->burst);
		uint64_t least =
		    (tokens * SHARE_ONE + entry->burst - 1) / entry->burst;

		share = MAX(share, (share_t)least);
	}
	return share;
}

/*
 * Loan requests for a team that lacks tokens overlap, because a reply from
 * another region takes longer than the tokens last. They don't overlap while
 * peers grant nothing or don't reply.
 */
static time_us_t
loan_request_interval(const entry_t *entry)
{
	if (entry->waiting_tokens > 0 && !entry->request_refused &&
	    entry->unanswered < LOAN_UNANSWERED_LIMIT)
		return LOAN_REQUEST_INTERVAL_US;
	return LOAN_TIMEOUT_US;
}

static void
loan_request_init(limiter_t *a, const char *team, time_us_t now,
    outgoing_loan_request_t *outgoing)
{
	loan_request_t *request = &outgoing->request;

	memset(outgoing, 0, sizeof(*outgoing));
	g_strlcpy(request->team, team, sizeof(request->team));
	g_strlcpy(request->borrower, a->name, sizeof(request->borrower));
	request->incarnation = a->incarnation;
	request->requested_at = now;
}

static bool
renewal_prepare(limiter_t *a, const char *team, entry_t *entry, share_t spare,
    time_us_t now, outgoing_loan_request_t *outgoing)
{
	for (size_t i = 0; i < loan_n_borrowed(a->loans, team); i++) {
		loan_borrowed_t *loan = loan_borrowed_at(a->loans, team, i);

		/* A loan that is no longer needed expires without a renewal. */
		if (loan->share == 0 || loan->share <= spare ||
		    loan->ends_at - now >= LOAN_RENEW_US ||
		    now < loan->next_renewal_at)
			continue;
		loan->next_renewal_at = now + LOAN_TIMEOUT_US;
		loan_request_init(a, team, now, outgoing);
		g_strlcpy(
		    outgoing->lender, loan->lender, sizeof(outgoing->lender));
		outgoing->request.request_id = loan->request_id;
		outgoing->request.share = loan->share;
		return true;
	}
	return false;
}

static int64_t
tokens_wanted(entry_t *entry, share_t share, time_us_t now)
{
	int64_t missing = entry->waiting_tokens * TOKEN_MICRO -
			  bucket_level(entry->bucket, now);

	return CLAMP(missing, 0, scale_by_share(entry->burst, share));
}

bool
limiter_wants_loan(limiter_t *a, const char *team, time_us_t now,
    outgoing_loan_request_t *outgoing)
{
	entry_t *entry = entry_find(a, team, now);
	share_t wanted, held;

	if (entry == NULL || now < entry->next_request_at)
		return false;
	wanted = entry_wanted_share(entry, now);
	held = entry->own_unlent + loan_borrowed(a->loans, team);
	if (!renewal_prepare(a, team, entry, held > wanted ? held - wanted : 0,
		now, outgoing)) {
		if (wanted <= held || (wanted - held < LOAN_MIN_SHARE &&
					  entry->waiting_tokens == 0))
			return false;
		loan_request_init(a, team, now, outgoing);
		outgoing->request.request_id = ++a->last_request_id;
		/* Every second request goes to an instance that borrows from
		 * this one; only every second, as it may no longer run. */
		if (outgoing->request.request_id % 2 == 0)
			loan_first_borrower(a->loans, team, outgoing->lender);
		outgoing->request.share = wanted - held;
		outgoing->request.tokens =
		    tokens_wanted(entry, outgoing->request.share, now);
	}
	entry->last_request_id = outgoing->request.request_id;
	entry->unanswered++;
	entry->next_request_at = now + loan_request_interval(entry);
	return true;
}

/* Returns the share that a lender keeps for its demand and waiting requests. */
static share_t
entry_kept_share(entry_t *entry, time_us_t now)
{
	share_t kept =
	    demand_share(entry, demand_now(entry, now), LENDER_MARGIN);

	if (entry->waiting_tokens > 0 && now < entry->waiting_until)
		kept = MAX(kept, entry_wanted_share(entry, now));
	return kept;
}

/* Renews the loan of an earlier request, unless the lender needs its share. */
static void
loan_renew(limiter_t *a, entry_t *entry, const loan_request_t *request,
    const loan_lent_t *lent, time_us_t now, loan_grant_t *grant)
{
	share_t own = membership_team_share(a->m, request->team, now);

	if (loan_lent(a->loans, request->team) > own ||
	    entry_kept_share(entry, now) > entry->own_unlent)
		return;
	loan_extend(a->loans, request, now);
	grant->loan_id = lent->loan_id;
	grant->share = lent->share;
}

/* Withdraws the tokens that move to the borrower along with a share. */
static int64_t
lend_tokens(entry_t *entry, const loan_request_t *request, share_t share,
    share_t kept, time_us_t now)
{
	int64_t level = bucket_level(entry->bucket, now);
	int64_t most = scale_by_share(entry->burst, share);
	/* Tokens above the capacity that remains would be lost. */
	int64_t excess =
	    level - scale_by_share(entry->burst, entry->own_unlent - share);
	int64_t spare = level - scale_by_share(entry->burst, kept);
	int64_t tokens = MAX(excess, MIN(request->tokens, spare));

	return bucket_withdraw(entry->bucket, CLAMP(tokens, 0, most), now);
}

static void
loan_start(limiter_t *a, entry_t *entry, const loan_request_t *request,
    time_us_t now, loan_grant_t *grant)
{
	share_t kept = entry_kept_share(entry, now);
	share_t share;

	if (kept >= entry->own_unlent)
		return;
	share = MIN(request->share, entry->own_unlent - kept);
	if (share == 0)
		return;
	grant->share = share;
	grant->tokens = lend_tokens(entry, request, share, kept, now);
	grant->loan_id = loan_lend(a->loans, request, share, now);
	entry_refresh(a, request->team, entry, now);
}

void
limiter_lend(limiter_t *a, const loan_request_t *request, time_us_t now,
    loan_grant_t *grant)
{
	entry_t *entry = entry_ensure(a, request->team, now);
	const loan_lent_t *lent = loan_find_lent(a->loans, request, now);

	memset(grant, 0, sizeof(*grant));
	g_strlcpy(grant->team, request->team, sizeof(grant->team));
	g_strlcpy(grant->lender, a->name, sizeof(grant->lender));
	grant->incarnation = a->incarnation;
	grant->request_id = request->request_id;
	grant->requested_at = request->requested_at;
	if (entry == NULL)
		return;
	if (lent != NULL)
		loan_renew(a, entry, request, lent, now, grant);
	else
		loan_start(a, entry, request, now, grant);
}

void
limiter_on_grant(limiter_t *a, const loan_grant_t *grant, time_us_t now)
{
	entry_t *entry = entry_find(a, grant->team, now);

	if (entry == NULL)
		return;
	if (loan_accept(a->loans, grant, now)) {
		entry_refresh(a, grant->team, entry, now);
		bucket_add(entry->bucket, grant->tokens, now);
	}
	entry->unanswered = 0;
	entry->request_refused = grant->loan_id == 0;
	if (entry->request_refused)
		entry->next_request_at = now + LOAN_RETRY_US;
	else if (grant->request_id == entry->last_request_id)
		entry->next_request_at = now;
}

bool
limiter_return(limiter_t *a, const char *team, const char *lender,
    time_us_t now, loan_return_t *message)
{
	entry_t *entry = entry_find(a, team, now);
	share_t wanted, held;

	if (entry == NULL)
		return false;
	wanted = entry_wanted_share(entry, now);
	held = entry->own_unlent + loan_borrowed(a->loans, team);
	for (size_t i = 0; i < loan_n_borrowed(a->loans, team); i++) {
		loan_borrowed_t *loan = loan_borrowed_at(a->loans, team, i);
		bool lender_needs_it =
		    lender != NULL && strcmp(loan->lender, lender) == 0;

		if (loan->share == 0 ||
		    (!lender_needs_it && (uint64_t)wanted + loan->share > held))
			continue;
		if (!loan_return(a->loans, team, loan->loan_id, now, message))
			continue;
		g_strlcpy(
		    message->borrower, a->name, sizeof(message->borrower));
		entry_refresh(a, team, entry, now);
		return true;
	}
	return false;
}

void
limiter_on_return(limiter_t *a, const loan_return_t *message, time_us_t now)
{
	entry_t *entry = entry_find(a, message->team, now);

	if (loan_on_return(a->loans, message) && entry != NULL)
		entry_refresh(a, message->team, entry, now);
}

static gboolean
entry_is_unused(gpointer team, gpointer value, gpointer data)
{
	void **arguments = data;
	limiter_t *a = arguments[0];
	time_us_t now = *(time_us_t *)arguments[1];
	entry_t *entry = value;

	entry_refresh(a, team, entry, now);
	return now - entry->used_at >= LIMITER_IDLE_US &&
	       !loan_exists(a->loans, team) &&
	       bucket_is_idle(entry->bucket, now);
}

void
limiter_sweep(limiter_t *a, time_us_t now)
{
	void *arguments[] = {a, &now};

	/* Entries are refreshed first, because entry_refresh() needs the ended
	 * loans to apply each at its own end. */
	g_hash_table_foreach_remove(a->teams, entry_is_unused, arguments);
	loan_expire(a->loans, now);
}

share_t
limiter_in_use(limiter_t *a, const char *team, time_us_t now)
{
	entry_t *entry = entry_find(a, team, now);

	if (entry == NULL)
		return own_minus_lent(a, team, now);
	return entry->own_unlent + loan_borrowed(a->loans, team);
}

share_t
limiter_lent(limiter_t *a, const char *team, time_us_t now)
{
	entry_find(a, team, now);
	return loan_lent(a->loans, team);
}

share_t
limiter_borrowed(limiter_t *a, const char *team, time_us_t now)
{
	entry_find(a, team, now);
	return loan_borrowed(a->loans, team);
}

double
limiter_demand(limiter_t *a, const char *team, time_us_t now)
{
	entry_t *entry = entry_find(a, team, now);

	if (entry == NULL)
		return 0;
	demand_decay(entry, now);
	return entry->demand;
}

size_t
limiter_n_teams(const limiter_t *a)
{
	return g_hash_table_size(a->teams);
}

void
limiter_each(
    limiter_t *a, void (*visit)(const char *team, void *data), void *data)
{
	GHashTableIter iter;
	gpointer team;

	g_hash_table_iter_init(&iter, a->teams);
	while (g_hash_table_iter_next(&iter, &team, NULL))
		visit(team, data);
}
