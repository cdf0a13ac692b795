#ifndef CORE_PLACEMENT_H
#define CORE_PLACEMENT_H

#include "core/catalog.h"
#include "core/targets.h"

/*
 * Chooses the target of a request among those of the instance's own region.
 *
 * Model engines. Prompts have several thousand tokens, most of them shared by
 * the requests about one subject, and instances choose independently. A
 * target's cost is its expected time to the first token: prefill of the prompts
 * queued before this one, and of the parts of this one that it doesn't have
 * cached. All instances assume that the same target caches a prefix, by
 * rendezvous hash, so that a prefix is prefilled once per region, and by the
 * next target in the order when those before it are busy. Where slots are
 * scarce, a request first waits briefly for a slot at an engine that has its
 * prefix cached (Zaharia et al., "Delay Scheduling", 2010): at peak load each
 * prompt that is prefilled again costs the time of two others. An engine with
 * an expected time above PLACEMENT_MAX_EXPECTED_MS gets no more requests: they
 * queue at the instance instead, where they can be ordered, moved and refused.
 * They also queue while an engine's streams are too slow to complete in time:
 * prefill between decoding steps slows all of its streams, and the work on a
 * stream that is cut at its deadline is wasted.
 *
 * Plain services. Requests are short and slots few. The target with the least
 * load per slot is chosen.
 */

/* Parts of a prompt whose ids are kept for core/quarantine.h. */
#define PROMPT_ID_LIMIT 32

/* Leading parts of a prompt that are compared; shared parts come first. */
#define PROMPT_PART_LIMIT 8

/* Expected time to the first token above which an engine gets no requests, if
 * the request has no limit of its own. */
#define PLACEMENT_MAX_EXPECTED_MS 550.0

/* Maximum requests in flight per slot of a plain service's target. */
#define PLACEMENT_PLAIN_REQUESTS_PER_SLOT 1.5

/* Maximum number of targets remembered as tried by one request. */
#define PLACEMENT_TRIED_LIMIT 6

/* Number of preferred targets of a prefix, in rendezvous order. */
#define PLACEMENT_PREFERRED_LIMIT 4

/*
 * Uncached tokens of the shared parts above which a contended target that isn't
 * a preferred one is skipped, while the request may wait.
 */
#define PLACEMENT_MISS_TOKENS 1000.0

/* Slow streams don't block an engine with fewer requests than this. */
#define PLACEMENT_SLOW_MIN_REQUESTS 4

typedef struct {
	uint64_t
	    chain[PROMPT_PART_LIMIT]; /* hash of all parts up to this one */
	uint32_t tokens[PROMPT_PART_LIMIT];
	size_t n_parts; /* 0: unknown */
	/* Hash of the id of each part but the last. */
	uint64_t shared_ids[PROMPT_ID_LIMIT];
	size_t n_shared_ids;
	uint32_t tokens_in;  /* 0: unknown */
	uint32_t tokens_out; /* maximum tokens of the response */
} prompt_t;

typedef struct {
	const catalog_service_t *service;
	const prompt_t *prompt; /* NULL for plain services */
	handle_t tried[PLACEMENT_TRIED_LIMIT];
	size_t n_tried;
	uint32_t region_instances; /* live ones, this one included */
	double gap_limit_ms;	   /* between events; 0: none */
	double wait_limit_ms;	   /* to the first token; 0: the default */
	double reserve; /* part of an engine's room that it leaves free */
	bool may_wait_for_cached; /* there is time to wait for a target that has
				   * it cached
				   */
	uint32_t version;	  /* the only one allowed; 0: any */
	uint64_t random;
} placement_request_t;

typedef enum {
	PLACEMENT_START,
	PLACEMENT_WAIT, /* no usable target accepts the request now */
	PLACEMENT_NONE, /* none is usable, untried and allowed by its health */
} placement_outcome_t;

typedef struct {
	placement_outcome_t outcome;
	target_t *target;
	double tokens;	      /* of the prompt, to be prefilled */
	double expected_ms;   /* to the first byte; 0: unknown */
	double cache_miss_ms; /* extra time if none of the prompt is cached */
	double pace;	      /* pace_factor() of the target */
	size_t n_usable;
	size_t preference_rank; /* among the prefix's preferred targets;
				   PLACEMENT_PREFERRED_LIMIT: not one of them.
				   0 without shared parts */
	bool slot_left_free;	/* a target with a free slot was skipped, as the
				   prefix isn't cached on it */
} placement_t;

/*
 * Average gap between the events of an engine's streams, in ms, up to which it
 * gets requests of a route: streams a little longer than the average must end
 * within the timeout, and hardly a gap may be longer than a timely response
 * allows. events: of a stream, on average; max_gap_ms: 0 if any gap is timely.
 */
double placement_gap_limit_ms(
    double events, int64_t timeout_ms, int64_t max_gap_ms);

placement_t placement_pick(const targets_t *targets,
    const placement_request_t *request, time_us_t now);

/*
 * Parses a list of parts ID:TOKENS,... into prompt. Returns false, and sets no
 * parts, when the syntax is wrong.
 */
bool prompt_parse_parts(prompt_t *prompt, const char *text, size_t len);

/* Capacity of a service in the own region, as reported to other regions. */
typedef struct {
	uint32_t room;	    /* requests that could start now */
	double expected_ms; /* to the first token of a short prompt */
} region_capacity_t;

region_capacity_t placement_capacity(
    const targets_t *targets, const catalog_service_t *service, time_us_t now);

#endif
