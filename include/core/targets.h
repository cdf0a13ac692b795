#ifndef CORE_TARGETS_H
#define CORE_TARGETS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "balance/pace.h"
#include "core/departures.h"
#include "core/handle.h"
#include "core/revision.h"
#include "core/topology.h"
#include "core/types.h"
#include "core/zone_load.h"

/*
 * The targets that the publisher lists, with the load and health of each as
 * known to this instance. The owner reports every attempt and its result. Used
 * by gateway/; core/gate.c uses route.h instead.
 */

/*
 * A target that the publisher removes while it is unreachable for this instance
 * or within this time after, may only have failed to renew its entry. Its
 * removal is doubted for this long, as such entries are listed again within
 * about two seconds, and it is asked for its health.
 */
#define TARGET_REMOVAL_GRACE_US (2500 * US_PER_MS)

/*
 * After the grace, a target whose removal is doubted is used for this long
 * after an answer that it is in service, until the publisher can tell. Without
 * it, nothing would be used in an outage that follows another one closely.
 */
#define TARGET_IN_SERVICE_MAX_AGE_US (1500 * US_PER_MS)

/*
 * An instance that is told of a removal asks the target after this time, in
 * which its own source usually says the same.
 */
#define TARGET_TOLD_CHECK_DELAY_US (400 * US_PER_MS)

/*
 * Longer than a watch of the publisher's list takes to return or to fail: a
 * list that isn't confirmed for this long is stale.
 */
#define TARGET_LIST_MAX_AGE_US (5500 * US_PER_MS)

/* A longer time that a target states is cut to this one. */
#define TARGET_COLD_MAX_MS (10 * INT64_C(60000))

/* Value of a limit that is not set. */
#define TARGET_NO_LIMIT (-1.0)

/*
 * Rate at which a limited target is used at least, as only its answers tell
 * that the limit has ended.
 */
#define TARGET_LIMIT_MIN_PER_S 0.25

/* Time for which others are told that a stated rate has changed. */
#define TARGET_RATE_TELL_US (5 * US_PER_S)

/* Time for which others are told that a fragile target refused a request. */
#define TARGET_FULL_TELL_US (500 * US_PER_MS)

/* Part of the refusals that a fragile target endures, up to which instances
 * send to it without knowing that there is room. */
#define TARGET_REFUSALS_RISKED 0.5

/*
 * A target whose address answered as another target is not used for this long,
 * within which its entry is removed: its process has ended.
 */
#define TARGET_REPLACED_US (5 * US_PER_S)

/* Backoff of a target that is unreachable or failed repeatedly; doubles up to
 * the maximum. */
#define TARGET_BACKOFF_MIN_US (400 * US_PER_MS)
#define TARGET_BACKOFF_MAX_US (5 * US_PER_S)

/*
 * Consecutive failures after which a target that still answers is backed off.
 * Otherwise a target that fails or refuses immediately, and is thus always
 * idle, would attract all requests. A service that normally fails one request
 * in six reaches this limit once in 7,000 requests.
 */
#define TARGET_MAX_CONSECUTIVE_FAILURES 5

/* Consecutive broken connections after which a target is backed off. */
#define TARGET_MAX_CONSECUTIVE_BREAKS 3

/*
 * A target with requests in flight that sends no byte for this long gets no
 * further requests while other targets are available.
 */
#define TARGET_SILENCE_US (1200 * US_PER_MS)

/* An observed gap between events is used for this long. */
#define TARGET_GAP_MAX_AGE_US US_PER_S

/*
 * Instances of a region that may send to one cold target, each at its share of
 * the rate that the target can handle. Without a limit, dozens of instances
 * would send to a new target with an empty queue at the same moment. Two, so
 * that the target isn't left idle when one of them stops, and isn't
 * overloaded when a third instance with another view of the members also sends
 * (members_may_use_share()).
 */
#define TARGET_COLD_SENDERS 2

/*
 * A limited target has one sender for each request a second of its limit, at
 * least TARGET_COLD_SENDERS and at most this many.
 */
#define TARGET_LIMIT_SENDERS_MAX 1024

/*
 * At peak load all instances of a region wait for the same slots, and each
 * learns within 100 ms that one is free; all would send there. While the number
 * of free slots is at most a third of the instances that may want one, and at
 * most half of the target's slots, the slots are divided among these instances
 * again with each load report, and an instance whose own request ends reuses
 * that slot itself.
 */
#define TARGET_CONTENDED_DIVISOR 3

/* Load reported by an instance is used for this long after its last report. */
#define TARGET_PEER_LOAD_MAX_AGE_US (2 * US_PER_S)

/*
 * Load that a target reports beyond what the instances report comes from
 * instances that can't be reached. It is averaged over the first time, and
 * decays over the second when there is no further report.
 */
#define TARGET_UNTRACKED_TAU_US (300 * US_PER_MS)
#define TARGET_UNTRACKED_MAX_AGE_US (2 * US_PER_S)

typedef enum { TARGET_READY, TARGET_DRAINING } target_state_t;

typedef struct {
	char id[NAME_LIMIT + 1];
	char service[NAME_LIMIT + 1];
	char version[NAME_LIMIT + 1]; /* of its software */
	uint32_t ip;		      /* IPv4, host byte order */
	uint16_t port;		      /* host byte order */
	int zone;		      /* index into the topology */
	uint32_t slots;
	target_state_t state;
	int64_t cold_ms;      /* remaining time in which it is cold */
	int64_t started_ms;   /* Unix time of its start, 0: unknown */
	int64_t remaining_ms; /* until its removal, -1: unknown */
	revision_t revision;  /* of the entry; number 0: unknown */
} target_entry_t;

/* Load of one target as reported by another instance of the region. */
typedef struct {
	uint32_t target; /* target_short_id() */
	uint32_t in_flight;
	uint32_t pending_tokens;
	uint32_t event_gap_ms; /* between events of its streams; 0: unknown */
} target_load_t;

/*
 * What a target said of itself in an answer to an instance, as instances report
 * it to each other.
 */
typedef enum {
	TARGET_NOTICE_COLD,	/* value: remaining time in ms */
	TARGET_NOTICE_LIMIT,	/* value: requests in 1,000 s, or none */
	TARGET_NOTICE_REPLACED, /* value: 0 */
	TARGET_NOTICE_REFUSALS, /* value: refusals in 1,000 s, or none */
	TARGET_NOTICE_FULL,	/* a fragile one refused a request; value: 0 */
	/* See departure_kind_t; value: low bits of the revision. */
	TARGET_NOTICE_REMOVED,
	TARGET_NOTICE_LEFT,    /* DEPARTURE_LEFT */
	TARGET_NOTICE_LEAVING, /* DEPARTURE_LEAVING */
	/* Its removal is doubted, and it is in service; value: 0. */
	TARGET_NOTICE_IN_SERVICE,
	TARGET_NOTICE_KIND_COUNT
} target_notice_kind_t;

/* Value of a notice that a limit has ended. */
#define TARGET_NOTICE_NO_LIMIT UINT32_MAX

/* Rates that a target may state, each for all instances together. */
typedef enum {
	TARGET_RATE_REQUESTS, /* that it accepts */
	/*
	 * Refusals for want of room that it endures. Above this rate a fragile
	 * target breaks down, with all requests that it runs.
	 */
	TARGET_RATE_REFUSALS,
	TARGET_RATE_COUNT
} target_rate_t;

typedef struct {
	double per_s;	      /* TARGET_NO_LIMIT: none */
	time_us_t at;	      /* when it was stated or ended; 0: never */
	time_us_t told_until; /* others are told of a change until then */
} stated_rate_t;

typedef struct {
	uint32_t target; /* target_short_id() */
	uint32_t start;	 /* target_start_id() */
	uint32_t kind;	 /* target_notice_kind_t */
	uint32_t age_ms; /* since the answer */
	uint32_t value;
} target_notice_t;

typedef struct targets targets_t;

typedef struct {
	target_entry_t entry;
	targets_t *table;
	handle_t handle;
	uint32_t short_id;
	uint32_t version; /* stream_version() of its entry */
	int region;
	bool unlisted; /* kept only while requests are in flight */
	/* Load from this instance. */
	uint32_t in_flight;
	double pending_tokens; /* prompts sent, before the first token */
	uint32_t connections;  /* maintained by the owner */
	/* Load from the other instances of the region. */
	uint32_t peer_in_flight;
	double peer_pending_tokens;
	/* Load reported by the target itself. */
	uint32_t reported_running;
	uint32_t reported_waiting;
	time_us_t reported_at;
	double untracked_load;	/* requests of unreachable instances */
	uint32_t granted_slots; /* to use while few are free */
	bool refused;		/* it is fragile and refused a request */
	time_us_t refused_at;	/* when it last did so, 0: never */
	/* Health. */
	time_us_t backoff_until;
	time_us_t backoff;
	bool probing;	       /* a probe is in flight after a backoff */
	time_us_t replaced_at; /* answered as another target; 0: never */
	uint32_t consecutive_failures; /* error responses and refusals */
	uint32_t consecutive_breaks;   /* incomplete responses */
	double failure_rate;	       /* moving average, 0..1 */
	pace_t pace;
	pace_model_t *model; /* of its service; owned by the table */
	double event_gap_ms; /* between events of this instance's streams */
	time_us_t event_gap_at;
	double peer_event_gap_ms; /* average reported by other instances */
	time_us_t peer_event_gap_at;
	time_us_t last_sent_at; /* last request of this instance; 0: never */
	time_us_t last_activity_at; /* last byte received, or start of the first
			     attempt in flight; 0: none in flight */
	/* Warm-up. */
	time_us_t cold_until;	     /* by its entry */
	time_us_t stated_cold_until; /* by its own answer */
	time_us_t stated_at;	     /* time of that answer; 0: none */
	stated_rate_t rates[TARGET_RATE_COUNT];
	/*
	 * It refused a connection, so it may have started again since its entry
	 * was written; it gets no request until it states its health.
	 */
	bool maybe_restarted;
	time_us_t next_check_at;  /* see gateway/health.c */
	time_us_t unreachable_at; /* last failed connection; 0: never */
	double allowance;	  /* token bucket: requests that may be sent */
	time_us_t allowance_at;
	/* Part of the rate of a cold or limited target that this instance may
	 * use; 0: none. */
	double sender_share;
	/* Of a removal that is doubted; 0: there is none. */
	time_us_t removal_at; /* end of the grace */
	bool removal_read;    /* here, and not only told */
	bool withheld;	      /* not used until the own source decides */
	time_us_t removed_at; /* when it was read */
	time_us_t check_from; /* the target is asked for its health */
	revision_t removal_revision;
	time_us_t in_service_at; /* last health answer that it is in service */
	GHashTable *prefixes;	 /* chain hash -> prefix_t */
	uint64_t prefix_tokens;
	void *user; /* of the table's creator, not freed here; see
		       targets_on_free() */
} target_t;

targets_t *targets_create(const topology_t *topology, int own_region);
void targets_destroy(targets_t *targets);

/* Called before a target is freed. */
void targets_on_free(
    targets_t *targets, void (*on_free)(target_t *, void *), void *context);

/*
 * Adds or replaces a listed entry. Returns its target. An entry that isn't
 * later than what is known of the target's departure doesn't bring it back.
 */
target_t *targets_put(
    targets_t *targets, const target_entry_t *entry, time_us_t now);

/*
 * Removes an entry that is no longer listed: immediately, or, when the
 * publisher is unreachable or was so within the last TARGET_REMOVAL_GRACE_US,
 * TARGET_REMOVAL_GRACE_US after its return. If it is unreachable then, the
 * target is kept only while it says itself that it is in service. revision: of
 * the removal, or of a range without the entry; number 0: unknown.
 */
void targets_remove(
    targets_t *targets, const char *id, revision_t revision, time_us_t now);

/*
 * Returns whether to ask the target for its health, as its removal is doubted.
 * responsible: this instance is one of the few that ask first and tell others.
 */
bool target_removal_wants_check(
    const target_t *target, bool responsible, time_us_t now);

/*
 * Records a health answer of a target whose removal is doubted. One that isn't
 * in service is removed, or, if the removal was only told, isn't used until the
 * own source tells. Returns whether it was removed, and may be freed.
 */
bool targets_note_health(
    targets_t *targets, target_t *target, bool in_service, time_us_t now);

/* Sets whether the publisher can be reached. */
void targets_set_publisher_reachable(
    targets_t *targets, bool reachable, time_us_t now);

/*
 * Records that the target said itself that it leaves. Returns whether that is
 * news.
 */
bool targets_note_leaving(targets_t *targets, target_t *target, time_us_t now);

/* Returns what is known of the target's departure; NULL: nothing. */
const departure_t *targets_departure(
    const targets_t *targets, const target_t *target);

/* Performs removals that are due. Call a few times a second. */
void targets_expire(targets_t *targets, time_us_t now);

/* Sets whether the zone is evacuated: its targets get no new requests. */
void targets_set_evacuated(targets_t *targets, int zone, bool evacuated);
bool targets_is_evacuated(const targets_t *targets, int zone);

target_t *targets_find(const targets_t *targets, const char *id);
target_t *targets_get(const targets_t *targets, handle_t handle);

/* All listed targets, and unlisted ones with requests in flight. */
size_t targets_count(const targets_t *targets);
target_t *targets_at(const targets_t *targets, size_t i);

uint32_t target_short_id(const char *id);

/*
 * A target that has started again reports it within this time after the last
 * connection that it refused.
 */
#define TARGET_ENTRY_DELAY_US (3 * US_PER_S)

/*
 * Returns whether the target's software is that of its entry. It may not be
 * after a connection failed, as the target may have started again since its
 * entry was written.
 */
bool target_version_is_certain(const target_t *target, time_us_t now);

/*
 * Returns whether the target may get new requests: it is listed as ready, in
 * the own region, it isn't known to leave, and its zone is not evacuated.
 * Doesn't consider its health.
 */
bool target_is_usable(const targets_t *targets, const target_t *target);

/*
 * Returns whether the target's health allows a request now: it isn't backed
 * off, or the request is the first probe after the backoff, and it isn't
 * silent.
 */
bool target_is_healthy(const target_t *target, time_us_t now);

/*
 * Records that the publisher's list was read and is up to date, as far as the
 * source knows, with all changes up to this revision; number 0: unknown. A
 * target that is still listed after the revision of a removal that was told is
 * in service: the instance that told it was mistaken.
 */
void targets_note_listed(
    targets_t *targets, revision_t revision, time_us_t now);

/*
 * Returns whether the list is older than TARGET_LIST_MAX_AGE_US, so that
 * targets may have changed without a new entry.
 */
bool targets_list_is_stale(const targets_t *targets, time_us_t now);

/*
 * Sets whether this instance can't learn which targets are cold: its list is
 * stale, and it is cut off (members_is_isolated()). n_instances: those known in
 * the region, each of which may be in the same situation; 0: it can.
 */
void targets_set_isolated(targets_t *targets, uint32_t n_instances);

bool target_is_cold(const target_t *target, time_us_t now);

/*
 * Records that another target answered at the target's address. Returns whether
 * that wasn't known yet.
 */
bool target_note_replaced(target_t *target, time_us_t now);

/* Whether another target answered at its address within TARGET_REPLACED_US. */
bool target_is_replaced(const target_t *target, time_us_t now);

/* Records that the target stated how long it stays cold; 0: it is warm. */
void target_note_cold(target_t *target, int64_t cold_ms, time_us_t now);

/*
 * Records the rate that an answer stated, TARGET_NO_LIMIT if it stated none.
 * sent_at: when the request was sent. An answer to a request from before the
 * rate was stated may be older than it and doesn't end it. Returns whether the
 * rate changed.
 */
bool target_note_rate(target_t *target, target_rate_t rate, double per_s,
    time_us_t sent_at, time_us_t now);

/* Returns whether it stated a limit of requests, or of refusals. */
bool target_is_limited(const target_t *target);
bool target_is_fragile(const target_t *target);

/*
 * Number of instances of a region that may send to the target while it is cold
 * or limited, each at its part of the rate; 0: all, without a limit.
 */
uint32_t target_n_senders(const target_t *target, time_us_t now);

/* Distinguishes starts of a target under the same id. */
uint32_t target_start_id(const target_t *target);

/*
 * Writes what targets said of themselves and still holds, and departures,
 * beginning after the last one that was written. round: see
 * departures_export(). Returns the number written, at most limit.
 */
size_t targets_export_notices(targets_t *targets, target_notice_t *notices,
    size_t limit, bool round, time_us_t now);

/* Returns whether a notice tells of a departure. */
bool target_notice_is_departure(const target_notice_t *notice);

/*
 * Applies a notice unless a later answer or entry of the target is known; such
 * an answer is reported again. Returns the target if it changed.
 */
target_t *targets_import_notice(
    targets_t *targets, const target_notice_t *notice, time_us_t now);

typedef enum {
	TARGET_OPEN,
	TARGET_OPEN_LATER, /* it is cold, may be so, or has no allowance left */
	TARGET_CLOSED,	   /* for longer than a request waits */
} target_admission_t;

/*
 * Returns whether a target accepts another request of this instance.
 * cold_per_s: rate of requests that it can handle while it is cold; 0: no
 * limit. The senders to a cold or limited target divide its rate. An isolated
 * instance keeps to its part of the cold rate at each target.
 */
target_admission_t target_admits(const targets_t *targets, target_t *target,
    double cold_per_s, time_us_t now);

typedef struct {
	handle_t target;
	double tokens; /* of the prompt, to be prefilled */
	double expected_ms;
	double cache_miss_ms; /* extra time if the prompt isn't cached */
	time_us_t sent_at;
	bool first_byte;
	double stated;	     /* pace_stated() when it was sent */
	double tokens_ahead; /* to be prefilled before this prompt */
	bool found_slot;     /* a slot was free when it was sent */
} target_attempt_t;

/*
 * Begins an attempt; target_attempt_finish() ends it. Sets
 * attempt->cache_miss_ms to 0; the caller sets it afterwards.
 */
void target_attempt_begin(target_t *target, double tokens, double expected_ms,
    time_us_t now, target_attempt_t *attempt);

/* Records the first byte or event of the response. */
void target_first_byte(
    target_t *target, target_attempt_t *attempt, time_us_t now);

/* Records the gap between two events of one stream. */
void target_event_gap(target_t *target, time_us_t gap, time_us_t now);

/*
 * Returns whether streams of the target, from this or another instance,
 * recently had gaps between events above the limit. 0: no limit. Other
 * instances count, as those that send long prompts to an engine aren't the ones
 * whose streams the prompts slow down.
 */
bool target_is_slow(const target_t *target, double gap_limit_ms, time_us_t now);

/* Records that any byte was received from the target. */
void target_byte_received(target_t *target, time_us_t now);

typedef enum {
	TARGET_RESULT_OK,
	TARGET_RESULT_ERROR,	   /* an error response */
	TARGET_RESULT_BROKEN,	   /* reset, closed or malformed */
	TARGET_RESULT_UNREACHABLE, /* no connection */
	TARGET_RESULT_REFUSED,	   /* it reported that it is full */
	TARGET_RESULT_CANCELLED,   /* by the caller or this instance, or it
				      never reached the target */
} target_result_t;

/*
 * Ends the attempt that target_attempt_begin() began. Returns whether other
 * instances should be told at once that the target is full.
 */
bool target_attempt_finish(target_t *target, target_attempt_t *attempt,
    target_result_t result, time_us_t now);

void target_report_load(
    target_t *target, uint32_t running, uint32_t waiting, time_us_t now);

/*
 * Records the pace that the target stated, as a factor on the time that its
 * work takes. Returns false if the factor is out of range (pace_note_stated()).
 */
bool target_report_pace(target_t *target, double factor, time_us_t now);

/*
 * Expected time to the first token in ms, with these tokens to prefill, at the
 * target's present pace.
 */
double target_expected_ms(const target_t *target, double tokens, time_us_t now);

/* Time in ms that the target takes to prefill the tokens at its present pace.
 */
double target_prefill_ms(const target_t *target, double tokens, time_us_t now);

/* What is known of the service's engines; NULL if none was ever listed. */
const pace_model_t *targets_model(
    const targets_t *targets, const char *service);

/* Who is told of the observations of paces. */
typedef enum {
	PACE_FOR_ZONE,	 /* instances of the own zone */
	PACE_FOR_REGION, /* other zones; also what the own zone told */
	PACE_AUDIENCE_COUNT
} pace_audience_t;

/*
 * Writes the newest observations that weren't told yet. Returns their number,
 * at most limit; the others are dropped, and added to n_dropped.
 */
size_t targets_export_paces(targets_t *targets, pace_audience_t audience,
    pace_observation_t *observations, size_t limit, size_t *n_dropped);

/* Applies what another instance observed; pass_on: tell other zones of it. */
void targets_import_paces(targets_t *targets,
    const pace_observation_t *observations, size_t n, bool pass_on,
    time_us_t now);

/* Known or reported requests in flight, from all instances. */
uint32_t target_in_flight(const target_t *target, time_us_t now);

/*
 * Returns whether so few slots are free that they are divided: at most half of
 * the target's slots, and at most a third of the instances that may each use
 * one at the same moment (TARGET_CONTENDED_DIVISOR).
 */
bool target_is_contended(
    const target_t *target, uint32_t n_contenders, time_us_t now);

/*
 * Returns whether this instance may use one of the target's slots. Those of a
 * fragile target are always divided, as requests of several instances for the
 * same slot make it refuse all but one. After a refusal the instances keep to
 * the slots that their own requests leave, until targets_divide_slots() grants
 * them one again.
 */
bool target_has_slot(
    const target_t *target, uint32_t n_contenders, time_us_t now);

/*
 * Divides the free slots among the instances of the region. Call with each load
 * report. A fragile target that refused a request is granted again at random,
 * so seldom that all instances together risk a part of the refusals that it
 * endures (TARGET_REFUSALS_RISKED).
 */
void targets_divide_slots(targets_t *targets, uint32_t region_instances,
    uint64_t *random, time_us_t now);

/*
 * Each part of a prompt is identified by the hash of all parts up to and
 * including it. Returns the number of leading parts that the target is expected
 * to have cached.
 */
size_t target_prefix_cached(
    const target_t *target, const uint64_t *chain, size_t n_parts);

/* Records that the target cached these parts. capacity: cache in tokens; 0:
 * unknown, and nothing is evicted. */
void target_prefix_add(target_t *target, const uint64_t *chain,
    const uint32_t *tokens, size_t n_parts, uint64_t capacity, time_us_t now);

/* Replaces the load reported by one instance or other zone of the region. */
void targets_peer_load(targets_t *targets, load_sender_t sender,
    const target_load_t *loads, size_t n_loads, time_us_t now);

/*
 * Writes this instance's load of the listed targets on which it has requests in
 * flight. Of more than limit targets, the busiest are written. Returns the
 * number written.
 */
size_t targets_own_load(const targets_t *targets, target_load_t *loads,
    size_t limit, time_us_t now);

/*
 * Writes the sum of this instance's load and of the loads that instances, not
 * zones, reported; with reports from its own zone only, the load of the zone.
 * Stores the number of instances that it covers.
 */
size_t targets_zone_load(const targets_t *targets, target_load_t *loads,
    size_t limit, uint32_t *n_instances, time_us_t now);

#endif
