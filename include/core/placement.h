#ifndef CORE_PLACEMENT_H
#define CORE_PLACEMENT_H

#include "core/catalog.h"
#include "core/targets.h"

/*
 * Chooses the target of a request among those of the instance's own region.
 *
 * Model engines. Load pattern: prompts of several thousand tokens of which most
 * are shared by the requests about one subject, from instances that choose
 * independently. A target's cost is its expected time to the first token: the
 * prompts ahead, and what it doesn't hold of this one. All instances take the
 * same target for the one that holds a prefix, by rendezvous hash, so that a
 * prefix is read once a region, and by the next one in the order when those
 * before are busy. Where places are few, a request first waits for a moment for
 * one at an engine that holds its prefix (Zaharia et al., "Delay Scheduling",
 * 2010): at a peak each prompt that is read again costs the time of two
 * others. An
 * engine that is more than PLACEMENT_WAIT_MS behind gets no more: requests wait
 * at the instance instead, where they can be ordered, moved and refused. So
 * do they while an engine's streams are too slow to end in time: prompts that
 * are read between the steps slow all of its streams, and those that are cut at
 * their deadline were in vain.
 *
 * Plain services. Load pattern: short calls on few slots. The target with the
 * least work for each of its slots is chosen.
 */

/* Parts of a prompt that are compared, the shared ones in front. */
#define PROMPT_PART_LIMIT 8

/* Expected time to the first token above which an engine gets no more. */
#define PLACEMENT_WAIT_MS 550.0

/* Requests for each slot that a plain service's target takes at once. */
#define PLACEMENT_PLAIN_DEPTH 1.5

/* Targets that one request has been sent to. */
#define PLACEMENT_TRIED_LIMIT 6

/* Targets that all instances send a prefix to, in rendezvous order. */
#define PLACEMENT_HOMES 4

/* Tokens to read again that are worth the wait for another target. */
#define PLACEMENT_MISS_TOKENS 1000.0

/* An engine with fewer requests is not held back by slow streams. */
#define PLACEMENT_FEW 4

typedef struct {
	uint64_t chain[PROMPT_PART_LIMIT]; /* hash of the parts up to here */
	uint32_t tokens[PROMPT_PART_LIMIT];
	size_t n_parts;	     /* 0: not told */
	uint32_t tokens_in;  /* 0: not told */
	uint32_t tokens_out; /* most tokens of the answer */
} prompt_t;

typedef struct {
	const catalog_service_t *service;
	const prompt_t *prompt; /* NULL for plain services */
	handle_t tried[PLACEMENT_TRIED_LIMIT];
	size_t n_tried;
	uint32_t region_instances; /* live ones, this one included */
	double gap_limit_ms;	   /* between events; 0: none */
	bool may_wait; /* there is time to wait for one that holds the prompt */
	uint64_t random;
} placement_request_t;

typedef enum {
	PLACEMENT_START,
	PLACEMENT_WAIT, /* targets are there, but none has room */
	PLACEMENT_NONE, /* no usable target is listed */
} placement_verdict_t;

typedef struct {
	placement_verdict_t verdict;
	target_t *target;
	double tokens;	    /* of the prompt that the target has to read */
	double expected_ms; /* to the first byte; 0: unknown */
	double doubt_ms;    /* longer, if none of the prompt is held */
	size_t n_usable;
	size_t home; /* place of the target in the order of the prefix's homes;
			PLACEMENT_HOMES: none of them */
	bool held_back; /* a place is free where the prompt isn't held */
} placement_t;

placement_t placement_pick(const targets_t *targets,
    const placement_request_t *request, time_us_t now);

/*
 * Reads a list of parts ID:TOKENS,... into prompt. Returns false, and leaves no
 * parts, when it is anything else.
 */
bool prompt_read_parts(prompt_t *prompt, const char *text, size_t len);

/* Load of a service's targets in the own region, told to other regions. */
typedef struct {
	uint32_t free;	    /* requests that could start now */
	double expected_ms; /* to the first token of a short prompt */
} region_capacity_t;

region_capacity_t placement_capacity(
    const targets_t *targets, const catalog_service_t *service, time_us_t now);

#endif
