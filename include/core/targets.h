#ifndef CORE_TARGETS_H
#define CORE_TARGETS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/handle.h"
#include "core/places.h"
#include "core/types.h"

/*
 * The targets that the publisher lists, with what this instance knows of the
 * load and health of each. The owner reports every send and its result.
 */

/*
 * A listed target that the publisher drops shortly after an outage of the
 * publisher may only have failed to renew its entry, so it is kept for this
 * long. SYSTEM: such entries are back within about two seconds.
 */
#define TARGET_RETURN_US (2500 * US_PER_MS)

/* First pause after a failure to reach a target; doubles up to the longest. */
#define TARGET_PAUSE_MIN_US (400 * US_PER_MS)
#define TARGET_PAUSE_MAX_US (5 * US_PER_S)

/*
 * Failures in a row after which a target that answers is paused. Load pattern:
 * a target that fails or refuses at once is always idle, and would attract all
 * requests. A service that fails one request in six by its nature gets there
 * once in 7,000 requests.
 */
#define TARGET_FAILURES_TO_PAUSE 5

/* Connections in a row that broke. */
#define TARGET_BREAKS_TO_PAUSE 3

/*
 * A target with requests in flight that sends no byte for this long gets no
 * further request while others are there.
 */
#define TARGET_SILENCE_US (1200 * US_PER_MS)

/* A gap between events that was seen counts for this long. */
#define TARGET_GAP_LIFE_US US_PER_S

/*
 * Instances of a region that may send to one cold target, each at its part of
 * the rate that the target bears. Load pattern: dozens of instances find a new
 * target with an empty queue at the same moment. Two, so that one that stops
 * doesn't leave it idle, and a third one with an older view of who is there
 * doesn't overload it.
 */
#define TARGET_COLD_SENDERS 2

/* Tokens an engine prefills a millisecond until the rate has been observed. */
#define ENGINE_PREFILL_PER_MS 90.0

/*
 * Load pattern: at a peak all instances of a region wait for the same places,
 * and each learns within 100 ms that one is free; all would send there. While
 * no more places are free than a third of the instances that may want one,
 * these are divided among them anew with each telling of loads, and an instance
 * whose own request ends fills that place itself.
 */
#define TARGET_CONTENDED_PART 3

/* Load told by an instance counts for this long after it was last heard. */
#define TARGET_PEER_LOAD_LIFE_US (2 * US_PER_S)

/*
 * Load that a target tells of itself and that no instance has told comes from
 * instances that can't be heard. It is averaged over this time, and fades over
 * the second one when no more is told.
 */
#define TARGET_UNHEARD_TAU_US (300 * US_PER_MS)
#define TARGET_UNHEARD_LIFE_US (2 * US_PER_S)

/* Time to the first token of an idle engine besides prefill. */
#define ENGINE_FIRST_TOKEN_MS 35.0

typedef enum { TARGET_READY, TARGET_DRAINING } target_state_t;

typedef struct {
	char id[NAME_LIMIT + 1];
	char service[NAME_LIMIT + 1];
	uint32_t ip;   /* IPv4, host byte order */
	uint16_t port; /* host byte order */
	int zone;      /* index into places */
	uint32_t slots;
	target_state_t state;
	int64_t cold_ms;      /* how much longer the target is cold */
	int64_t started_ms;   /* Unix time of its start, 0 when not told */
	int64_t remaining_ms; /* until it is taken away, -1 when not told */
} target_entry_t;

/* Load of one target as told by another instance of the region. */
typedef struct {
	uint32_t target; /* target_short_id() */
	uint32_t in_flight;
	uint32_t pending_tokens;
	uint32_t event_gap_ms; /* between events of its streams; 0: not seen */
} target_load_t;

typedef struct targets targets_t;

typedef struct {
	target_entry_t entry;
	handle_t handle;
	uint32_t short_id;
	int region;
	bool gone; /* no longer listed; kept while requests are in flight */
	/* Load of this instance. */
	uint32_t in_flight;
	double pending_tokens; /* prompts sent, no token back yet */
	uint32_t connections;  /* kept by the owner */
	/* Load of the region's other instances. */
	uint32_t peer_in_flight;
	double peer_pending_tokens;
	/* What the target said of itself. */
	uint32_t told_running;
	uint32_t told_waiting;
	time_us_t told_at;
	double unheard; /* requests in flight of instances not heard */
	uint32_t grant; /* places this instance may take while few are free */
	/* Health. */
	time_us_t paused_until;
	time_us_t pause;
	bool trial;		  /* one request is in flight after a pause */
	uint32_t failures_in_row; /* answers that say so, and refusals */
	uint32_t breaks_in_row;	  /* no whole answer */
	double failure_rate;	  /* moving average, 0..1 */
	double slowness;     /* observed over expected time to first byte */
	double event_gap_ms; /* between events of this instance's streams */
	time_us_t event_gap_at;
	double peer_gap_ms; /* the same, of other instances' streams */
	time_us_t peer_gap_at;
	time_us_t silent_since; /* of the requests in flight; 0: none */
	/* Warm-up. */
	time_us_t cold_until;
	double cold_level; /* requests that may be sent now */
	time_us_t cold_at;
	bool cold_sender;     /* this instance is one of TARGET_COLD_SENDERS */
	time_us_t removal_at; /* 0: none */
	GHashTable *prefixes; /* chain hash -> prefix_t */
	uint64_t prefix_tokens;
	void *user; /* the owner's */
} target_t;

targets_t *targets_create(const places_t *places, int own_region);
void targets_destroy(targets_t *targets);

/* Called before a target is freed. */
void targets_on_free(
    targets_t *targets, void (*on_free)(target_t *, void *), void *context);

/* Adds or replaces what is listed. Returns the target. */
target_t *targets_put(
    targets_t *targets, const target_entry_t *entry, time_us_t now);

/*
 * The entry is no longer listed. Takes effect at once, or after
 * TARGET_RETURN_US when the publisher was away a moment ago.
 */
void targets_remove(targets_t *targets, const char *id, time_us_t now);

/* The publisher can't be read, or can be read again. */
void targets_publisher(targets_t *targets, bool reachable, time_us_t now);

/* Carries out removals that are due. Call a few times a second. */
void targets_expire(targets_t *targets, time_us_t now);

/* Nothing is to be sent to the zone. */
void targets_evacuate(targets_t *targets, int zone, bool evacuated);
bool targets_evacuated(const targets_t *targets, int zone);

target_t *targets_find(const targets_t *targets, const char *id);
target_t *targets_get(const targets_t *targets, handle_t handle);

/* All listed targets, and those that are gone with requests in flight. */
size_t targets_count(const targets_t *targets);
target_t *targets_at(const targets_t *targets, size_t i);

uint32_t target_short_id(const char *id);

/*
 * Tells whether new requests may go to it as far as its listing goes: it is
 * ready, of the own region, and its zone is not evacuated.
 */
bool target_is_usable(const targets_t *targets, const target_t *target);

/*
 * Tells whether its health allows a request now: no pause, or the first trial
 * after one, and not silent.
 */
bool target_is_healthy(const target_t *target, time_us_t now);

/* Tells whether a cold target can take one more request from this instance. */
bool target_cold_allows(target_t *target, double cold_per_s, time_us_t now);

typedef struct {
	handle_t target;
	double tokens; /* of the prompt that it has to read */
	double expected_ms;
	double doubt_ms; /* longer, if the prompt isn't held after all */
	time_us_t sent_at;
	bool first_byte;
} target_send_t;

/* Counts a request that is sent. cold_per_s 0: no limit while cold. */
void target_sent(target_t *target, double tokens, double expected_ms,
    time_us_t now, target_send_t *send);

/* The first byte or event of the answer is there. */
void target_first_byte(target_t *target, target_send_t *send, time_us_t now);

/* Events of one stream came this long after each other. */
void target_event_gap(target_t *target, time_us_t gap, time_us_t now);

/*
 * Tells whether streams of the target, of this instance or another one, lately
 * had longer gaps between events. 0: no limit. Load pattern: the instances that
 * send an engine long prompts aren't those whose streams they slow down.
 */
bool target_is_slow(const target_t *target, double gap_limit_ms, time_us_t now);

/* Any byte is there. */
void target_heard(target_t *target, time_us_t now);

typedef enum {
	TARGET_RESULT_OK,
	TARGET_RESULT_ERROR,	   /* an answer that says it failed */
	TARGET_RESULT_BROKEN,	   /* reset, closed or not an answer */
	TARGET_RESULT_UNREACHABLE, /* no connection */
	TARGET_RESULT_REFUSED,	   /* it said that it had no room */
	TARGET_RESULT_CANCELLED,   /* by the caller or this instance */
} target_result_t;

/* Ends what target_sent() began. */
void target_done(target_t *target, target_send_t *send, target_result_t result,
    time_us_t now);

void target_told_load(
    target_t *target, uint32_t running, uint32_t waiting, time_us_t now);

/* Expected time to the first token in ms, for a prompt with tokens to read. */
double target_expected_ms(const target_t *target, double tokens);

/* Requests in flight over all instances, as far as known. */
uint32_t target_in_flight(const target_t *target, time_us_t now);

/* Tells whether so few places are free that they are divided: a third of the
 * instances that may each take one at the same moment. */
bool target_is_contended(
    const target_t *target, uint32_t n_takers, time_us_t now);

/* Tells whether one of the engine's places is for this instance to take. */
bool target_has_place(const target_t *target, uint32_t n_takers, time_us_t now);

/*
 * Divides the places that are free among the instances of the region. Call with
 * each telling of loads.
 */
void targets_grant(targets_t *targets, uint32_t region_instances,
    uint64_t *random, time_us_t now);

/*
 * Parts of a prompt are named by the hash of all parts up to them. Returns the
 * number of leading parts that the target is believed to hold.
 */
size_t target_prefix_held(
    const target_t *target, const uint64_t *chain, size_t n_parts);

/* The target has read these parts. capacity is its memory in tokens. */
void target_prefix_add(target_t *target, const uint64_t *chain,
    const uint32_t *tokens, size_t n_parts, uint64_t capacity, time_us_t now);

/* Replaces the load told by one instance of the region. */
void targets_peer_load(targets_t *targets, uint32_t instance,
    const target_load_t *loads, size_t n_loads, time_us_t now);

/* Fills in the own load, busiest first. Returns how many. */
size_t targets_own_load(const targets_t *targets, target_load_t *loads,
    size_t limit, time_us_t now);

#endif
