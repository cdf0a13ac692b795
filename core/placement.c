#include "core/placement.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "core/random.h"

/* Cost of a target that fails all requests: ms for an engine, load for a plain
 * service. */
#define FAILURE_COST_MS 1500.0
#define FAILURE_COST_LOAD 3.0

/* Cost of one running request on an engine, in ms to the first token. */
#define RUNNING_COST_MS 0.6

/*
 * Instances choose independently, with load reports of the others that are up
 * to 100 ms old: a random cost up to this, times the number of instances, keeps
 * them from choosing the same target.
 */
#define JITTER_MS 1.0

/* Shared tokens at which the jitter is halved, so that requests with the same
 * prefix stay together. */
#define JITTER_SHARED_TOKENS 500.0

/*
 * Factor for prefill of shared parts that aren't cached, besides the time it
 * takes: the engine can't serve others meanwhile, and evicts other parts.
 */
#define CACHE_MISS_COST 3.0

/* At most one in this many instances is assumed to send to the same first
 * preferred target at a time. */
#define PREFERRED_CONTENDERS_DIVISOR 4

/* Streams up to this many times the average length must end in time. */
#define STREAM_LENGTH_FACTOR 1.2

/* Part of the longest timely gap that the average may be, as gaps vary. */
#define AVERAGE_GAP_FACTOR 0.45

/* Time between reports of a region's capacity to an instance, about. */
#define CAPACITY_REPORT_MS 500.0

/* Part of the limit on gaps between events for each part of reserved room. */
#define RESERVE_GAP_FACTOR 1.6

/* Fraction of a target's connection limit that is left unused. */
#define CONNECTION_RESERVE 0.1

static void
parts_clear(prompt_t *prompt)
{
	prompt->n_parts = 0;
	prompt->n_shared_ids = 0;
}

bool
prompt_parse_parts(prompt_t *prompt, const char *text, size_t len)
{
	const char *end = text + len;
	uint64_t hash = 0;
	uint64_t id = 0;
	size_t n = 0;

	parts_clear(prompt);
	while (text < end) {
		const char *comma = memchr(text, ',', (size_t)(end - text));
		const char *part_end = comma ? comma : end;
		const char *colon =
		    memchr(text, ':', (size_t)(part_end - text));
		uint64_t tokens = 0;

		if (colon == NULL || colon == text || colon + 1 == part_end ||
		    part_end - colon > 10) {
			parts_clear(prompt);
			return false;
		}
		for (const char *at = colon + 1; at < part_end; at++) {
			if (*at < '0' || *at > '9') {
				parts_clear(prompt);
				return false;
			}
			tokens = tokens * 10 + (uint64_t)(*at - '0');
		}
		if (n++ > 0 && prompt->n_shared_ids < PROMPT_ID_LIMIT)
			prompt->shared_ids[prompt->n_shared_ids++] = id;
		id = XXH3_64bits(text, (size_t)(colon - text));
		hash = XXH3_64bits_withSeed(text, (size_t)(colon - text), hash);
		if (prompt->n_parts < PROMPT_PART_LIMIT) {
			prompt->chain[prompt->n_parts] = hash;
			prompt->tokens[prompt->n_parts] =
			    (uint32_t)MIN(tokens, UINT32_MAX);
			prompt->n_parts++;
		}
		text = part_end + 1;
	}
	return prompt->n_parts > 0;
}

static bool
was_tried(const placement_request_t *request, handle_t target)
{
	for (size_t i = 0; i < request->n_tried; i++) {
		if (request->tried[i] == target)
			return true;
	}
	return false;
}

static bool
connections_allow(const target_t *target, const placement_request_t *request)
{
	double limit = request->service->connection_limit;

	if (limit <= 0)
		return true;
	limit *=
	    (1.0 - CONNECTION_RESERVE) / MAX(1u, request->region_instances);
	return target->in_flight < limit;
}

static double
rendezvous(uint64_t key, uint32_t target)
{
	uint64_t state = key ^ ((uint64_t)target << 32 | target);

	return (double)(random_next(&state) >> 11) / (double)(1ULL << 53);
}

/* Hash of the shared parts: all but the last, which is specific to the request.
 */
static uint64_t
shared_key(const prompt_t *prompt)
{
	if (prompt->n_parts < 2)
		return 0;
	return prompt->chain[prompt->n_parts - 2];
}

static double
shared_tokens(const prompt_t *prompt)
{
	double sum = 0;

	for (size_t i = 0; i + 1 < prompt->n_parts; i++)
		sum += prompt->tokens[i];
	return sum;
}

/* Tokens of the prompt that the target doesn't have cached. */
static double
tokens_uncached(const target_t *target, const prompt_t *prompt)
{
	double tokens = prompt->tokens_in;
	size_t held =
	    target_prefix_cached(target, prompt->chain, prompt->n_parts);

	for (size_t i = 0; i < held; i++)
		tokens -= prompt->tokens[i];
	return MAX(tokens, 1.0);
}

typedef struct {
	target_t *target;
	size_t rank;	 /* PLACEMENT_PREFERRED_LIMIT: not preferred */
	double uncached; /* tokens, as known from own requests */
	double tokens;	 /* same, with assumed requests of other instances */
	double expected_ms;
	double cost;
} candidate_t;

/* The preferred targets of a prefix, in rendezvous order. */
typedef struct {
	uint32_t short_id[PLACEMENT_PREFERRED_LIMIT];
	double score[PLACEMENT_PREFERRED_LIMIT];
	size_t n;
} preference_t;

/* Returns the rank of a target, or PLACEMENT_PREFERRED_LIMIT when it isn't a
 * preferred one. Without shared parts in the prompt all targets have rank 0. */
static size_t
preference_rank(const preference_t *preference, const target_t *target)
{
	if (preference->n == 0)
		return 0;
	for (size_t rank = 0; rank < preference->n; rank++) {
		if (preference->short_id[rank] == target->short_id)
			return rank;
	}
	return PLACEMENT_PREFERRED_LIMIT;
}

/*
 * The first target in rendezvous order is assumed to have the shared parts
 * cached, and each further one less of them, since all instances send them
 * there.
 */
static double
tokens_assumed_uncached(const candidate_t *candidate, double unshared)
{
	if (candidate->uncached <= unshared)
		return candidate->uncached;
	return unshared + (candidate->uncached - unshared) *
			      (double)candidate->rank /
			      PLACEMENT_PREFERRED_LIMIT;
}

static candidate_t
engine_candidate(target_t *target, const placement_request_t *request,
    const preference_t *preference, uint64_t *random, time_us_t now)
{
	const prompt_t *prompt = request->prompt;
	double shared = shared_tokens(prompt);
	double unshared = MAX(1.0, prompt->tokens_in - shared);
	candidate_t candidate = {.target = target,
	    .rank = preference_rank(preference, target),
	    .uncached = tokens_uncached(target, prompt)};
	double jitter = (double)(random_next(random) % 1024) / 1024 *
			JITTER_MS * request->region_instances /
			(1.0 + shared / JITTER_SHARED_TOKENS);

	candidate.tokens = tokens_assumed_uncached(&candidate, unshared);
	candidate.expected_ms =
	    target_expected_ms(target, candidate.tokens, now);
	candidate.cost =
	    candidate.expected_ms +
	    CACHE_MISS_COST * target_prefill_ms(target,
				  MAX(0.0, candidate.tokens - unshared), now) +
	    RUNNING_COST_MS * target_in_flight(target, now) + jitter +
	    FAILURE_COST_MS * target->failure_rate;
	return candidate;
}

static candidate_t
plain_candidate(target_t *target, uint64_t *random, time_us_t now)
{
	double slots = MAX(1u, target->entry.slots);
	double load = target_in_flight(target, now) / slots;
	/* Breaks ties between idle targets. */
	double tie = (double)(random_next(random) % 1000) / 1e5;

	return (candidate_t){.target = target,
	    .cost =
		(load + 0.2 + tie) * MAX(0.5, pace_factor(&target->pace, now)) +
		FAILURE_COST_LOAD * target->failure_rate};
}

/* Returns whether to leave the slot to a request with its prompt cached there.
 */
static bool
is_left_free(const candidate_t *candidate, const placement_request_t *request,
    time_us_t now)
{
	if (!request->may_wait_for_cached || request->prompt == NULL ||
	    candidate->rank < PLACEMENT_PREFERRED_LIMIT)
		return false;
	return candidate->uncached - (request->prompt->tokens_in -
					 shared_tokens(request->prompt)) >
		   PLACEMENT_MISS_TOKENS &&
	       target_is_contended(
		   candidate->target, request->region_instances, now);
}

/*
 * Number of instances that may send to the target at the same moment. Few have
 * a request that prefers it most; any may send it a request whose preferred
 * targets are full.
 */
static uint32_t
n_contenders(const candidate_t *candidate, uint32_t region_instances)
{
	return candidate->rank == 0
		   ? region_instances / PREFERRED_CONTENDERS_DIVISOR
		   : region_instances;
}

/* A request that leaves a reserve stops earlier at an engine with slow streams.
 */
static double
gap_limit_ms(const placement_request_t *request)
{
	return request->gap_limit_ms *
	       (1.0 - RESERVE_GAP_FACTOR * request->reserve);
}

static bool
has_room(const candidate_t *candidate, const placement_request_t *request,
    time_us_t now)
{
	const target_t *target = candidate->target;
	uint32_t in_flight = target_in_flight(target, now);
	double slots = MAX(1u, target->entry.slots);
	double wait_limit = request->wait_limit_ms > 0
				? request->wait_limit_ms
				: PLACEMENT_MAX_EXPECTED_MS;

	if (!connections_allow(target, request))
		return false;
	if (target_is_fragile(target) &&
	    !target_has_slot(target, request->region_instances, now))
		return false;
	if (request->prompt == NULL)
		return in_flight < slots * PLACEMENT_PLAIN_REQUESTS_PER_SLOT;
	/* An idle engine accepts any prompt. */
	if (in_flight == 0)
		return true;
	if (in_flight > slots * (1.0 - request->reserve))
		return false;
	if (in_flight >= PLACEMENT_SLOW_MIN_REQUESTS &&
	    target_is_slow(target, gap_limit_ms(request), now))
		return false;
	return candidate->expected_ms < wait_limit &&
	       target_has_slot(target,
		   n_contenders(candidate, request->region_instances), now);
}

/* Keeps the highest scores in descending order. */
static void
preference_insert(preference_t *preference, uint32_t short_id, double score)
{
	size_t at = preference->n;

	while (at > 0 && preference->score[at - 1] < score)
		at--;
	if (at == PLACEMENT_PREFERRED_LIMIT)
		return;
	if (preference->n < PLACEMENT_PREFERRED_LIMIT)
		preference->n++;
	for (size_t i = preference->n - 1; i > at; i--) {
		preference->short_id[i] = preference->short_id[i - 1];
		preference->score[i] = preference->score[i - 1];
	}
	preference->short_id[at] = short_id;
	preference->score[at] = score;
}

/* Finds the targets that all instances prefer for the prompt's prefix. */
static preference_t
preference_find(const targets_t *targets, const placement_request_t *request)
{
	uint64_t key = request->prompt ? shared_key(request->prompt) : 0;
	preference_t preference = {.n = 0};

	if (key == 0)
		return preference;
	for (size_t i = 0; i < targets_count(targets); i++) {
		const target_t *target = targets_at(targets, i);
		double score;

		if (strcmp(target->entry.service, request->service->name) !=
			0 ||
		    !target_is_usable(targets, target))
			continue;
		score = rendezvous(key, target->short_id);
		preference_insert(&preference, target->short_id, score);
	}
	return preference;
}

typedef enum { PASS_HEALTHY, PASS_ANY, PASS_COUNT } pass_t;

static bool
is_candidate(const targets_t *targets, const placement_request_t *request,
    const target_t *target, pass_t pass, time_us_t now)
{
	if (strcmp(target->entry.service, request->service->name) != 0 ||
	    !target_is_usable(targets, target) ||
	    target_is_replaced(target, now) ||
	    was_tried(request, target->handle))
		return false;
	if (request->version != 0 &&
	    (target->version != request->version ||
		!target_version_is_certain(target, now)))
		return false;
	if (pass == PASS_HEALTHY)
		return target_is_healthy(target, now);
	/* With no healthy target, all are tried; one that is still backed off
	 * gets one request at a time. */
	return target->in_flight == 0 || now >= target->backoff_until;
}

double
placement_gap_limit_ms(double events, int64_t timeout_ms, int64_t max_gap_ms)
{
	double limit = (double)timeout_ms / (STREAM_LENGTH_FACTOR * events);

	if (max_gap_ms > 0)
		limit = MIN(limit, AVERAGE_GAP_FACTOR * (double)max_gap_ms);
	return limit;
}

placement_t
placement_pick(
    const targets_t *targets, const placement_request_t *request, time_us_t now)
{
	placement_t placement = {.outcome = PLACEMENT_NONE};
	preference_t preference = preference_find(targets, request);
	uint64_t random = request->random;
	candidate_t best = {.cost = INFINITY};

	for (pass_t pass = PASS_HEALTHY;
	     pass < PASS_COUNT && placement.n_usable == 0; pass++) {
		for (size_t i = 0; i < targets_count(targets); i++) {
			target_t *target = targets_at(targets, i);
			target_admission_t admission;
			candidate_t candidate;

			if (!is_candidate(targets, request, target, pass, now))
				continue;
			admission = target_admits(
			    targets, target, request->service->cold_per_s, now);
			if (admission == TARGET_CLOSED)
				continue;
			placement.n_usable++;
			candidate = request->prompt != NULL
					? engine_candidate(target, request,
					      &preference, &random, now)
					: plain_candidate(target, &random, now);
			if (admission != TARGET_OPEN ||
			    candidate.cost >= best.cost ||
			    !has_room(&candidate, request, now))
				continue;
			if (is_left_free(&candidate, request, now)) {
				placement.slot_left_free = true;
				continue;
			}
			best = candidate;
		}
	}
	if (placement.n_usable > 0)
		placement.outcome = PLACEMENT_WAIT;
	if (best.target != NULL) {
		placement.outcome = PLACEMENT_START;
		placement.target = best.target;
		placement.tokens = best.tokens;
		placement.expected_ms = best.expected_ms;
		if (request->prompt != NULL)
			placement.cache_miss_ms = target_prefill_ms(best.target,
			    request->prompt->tokens_in - best.tokens, now);
		placement.preference_rank = best.rank;
		placement.pace = pace_factor(&best.target->pace, now);
	}
	return placement;
}

/*
 * Requests that the target could start until the next report: free slots, but
 * not more than it can read meanwhile.
 */
static uint32_t
target_room(const target_t *target, double expected_ms, time_us_t now)
{
	uint32_t in_flight = target_in_flight(target, now);
	double n_read =
	    pace_model_room(target->model, pace_factor(&target->pace, now),
		expected_ms, PLACEMENT_MAX_EXPECTED_MS, CAPACITY_REPORT_MS);

	if (in_flight >= target->entry.slots || target->refused)
		return 0;
	return (uint32_t)MIN(target->entry.slots - in_flight, n_read);
}

region_capacity_t
placement_capacity(
    const targets_t *targets, const catalog_service_t *service, time_us_t now)
{
	region_capacity_t capacity = {0, INFINITY};

	for (size_t i = 0; i < targets_count(targets); i++) {
		const target_t *target = targets_at(targets, i);
		double expected;

		if (strcmp(target->entry.service, service->name) != 0 ||
		    !target_is_usable(targets, target) ||
		    !target_is_healthy(target, now) ||
		    target_n_senders(target, now) > 0)
			continue;
		expected = target_expected_ms(target, 0, now);
		capacity.expected_ms = MIN(capacity.expected_ms, expected);
		capacity.room += target_room(target, expected, now);
	}
	return capacity;
}
