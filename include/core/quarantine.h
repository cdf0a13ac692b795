#ifndef CORE_QUARANTINE_H
#define CORE_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/types.h"

/*
 * Finds what crashes targets, and keeps requests with it away from them.
 *
 * A request is described by its features: the parts of its prompt but the last,
 * and the request as a whole (its team, path and body). A feature may crash
 * each target that begins to answer a request with it.
 *
 * Load pattern: a few percent of the requests of a route, at any instance of
 * any region, share one part and crash the target before the first byte of
 * their answer. No two are alike, and sound requests share their team and their
 * other parts. Beside them targets crash for other reasons, also many at once.
 *
 * - Suspects are the features of requests whose answer had not begun when their
 *   target crashed. An answer that begins clears all features of its request.
 * - A feature is held after QUARANTINE_CRASHES crashes of different targets
 *   without an answer in between, each with a request that was sent after the
 *   crash before: a cut of power that ends many targets at once counts as one
 *   crash. For a part, the requests differ as well. A feature with which
 *   answers began within QUARANTINE_TRUST_US needs QUARANTINE_TRUSTED_CRASHES.
 * - When a part is held, the crashes since its first one no longer count
 *   against other features, as it explains them. A crash of a target that had
 *   a request with a held part counts against held features only.
 * - While it is held, requests with it are refused. From time to time one is
 *   sent as a probe: by one instance at first, by more if that one has no
 *   request for it. An answer ends the quarantine everywhere;
 *   a crash makes the time to the next probe four times as long.
 *
 * Instances exchange reports of suspects, held and cleared features. Times in
 * them are ages, so that clocks needn't agree.
 */

/* Crashes from which a feature is held. */
#define QUARANTINE_CRASHES 3

/* The same for a feature with which answers began lately. */
#define QUARANTINE_TRUSTED_CRASHES 6
#define QUARANTINE_TRUST_US (30 * US_PER_S)

/*
 * Two crashes less than this apart count as one: instances see the end of their
 * connections, and thereby herds of crashes, at slightly different times.
 */
#define QUARANTINE_CRASH_GAP_US (100 * US_PER_MS)

/* The same for a crash that was reported, whose time is less exact. */
#define QUARANTINE_REPORT_GAP_US (250 * US_PER_MS)

/* Crashes older than this no longer count against a feature. */
#define QUARANTINE_EVIDENCE_US (60 * US_PER_S)

/* Time until the first probe; each failed one makes it four times as long. */
#define QUARANTINE_PROBE_MIN_US (10 * US_PER_S)
#define QUARANTINE_PROBE_FACTOR_BITS 2

/* Time after which a probe that had no result no longer counts as in flight. */
#define QUARANTINE_PROBE_MAX_US (15 * US_PER_S)

/* Interval at which other instances become those that may probe. */
#define QUARANTINE_PROBE_TURN_US (2 * US_PER_S)

/*
 * Turns after which twice as many instances may probe, as those before had no
 * request to probe with. Few at first, as each probe may crash a target.
 */
#define QUARANTINE_PROBE_STAGE_TURNS 2

/* A held feature is forgotten this long after its last crash. */
#define QUARANTINE_TTL_US (1800 * US_PER_S)

/* Features of one request that are looked at. */
#define QUARANTINE_FEATURE_LIMIT 33

/* Features that an instance remembers. */
#define QUARANTINE_TABLE_LIMIT 1024

/* Reports in one message. */
#define QUARANTINE_REPORT_LIMIT 8

typedef struct {
	uint64_t ids[QUARANTINE_FEATURE_LIMIT];
	size_t n;
	/* Identifies the request; the id of the request as a whole. */
	uint64_t request;
} features_t;

typedef struct quarantine quarantine_t;

quarantine_t *quarantine_create(void);
void quarantine_destroy(quarantine_t *quarantine);

/* Adds a part of the prompt, by the bytes of its id. */
void features_add_part(
    features_t *features, const char *service, uint64_t part);

/*
 * Adds the request as a whole. team: NULL if it has none. Called once, after
 * the parts.
 */
void features_add_request(features_t *features, const char *service,
    const char *team, const char *path, const void *body, size_t len);

typedef enum {
	QUARANTINE_PASS,
	QUARANTINE_PROBE, /* its only held feature may be probed */
	QUARANTINE_HOLD,
} quarantine_verdict_t;

typedef struct {
	quarantine_verdict_t verdict;
	uint64_t feature;      /* that is held; 0: none */
	time_us_t retry_after; /* QUARANTINE_HOLD: time to the next probe */
	uint64_t probe_turn;   /* QUARANTINE_PROBE: selects the instances */
	uint32_t probe_stage;  /* QUARANTINE_PROBE: 2^stage of them */
} quarantine_check_t;

/*
 * Decides on a request. For QUARANTINE_PROBE the caller sends it only if this
 * instance is responsible for probe_turn, and calls quarantine_begin_probe().
 */
quarantine_check_t quarantine_check(
    const quarantine_t *quarantine, const features_t *features, time_us_t now);

void quarantine_begin_probe(
    quarantine_t *quarantine, const features_t *features, time_us_t now);

/*
 * Ends a probe that had no result: it was refused or cancelled. The next one is
 * sent a turn later.
 */
void quarantine_end_probe(
    quarantine_t *quarantine, const features_t *features, time_us_t now);

/* A request whose answer had not begun when its target crashed. */
typedef struct {
	features_t features;
	time_us_t sent_at;
	bool probe;
} crash_witness_t;

/*
 * Records the crash of a target with these requests. target identifies one
 * start of a target. Returns the number of features that are held because of
 * it.
 */
size_t quarantine_note_crash(quarantine_t *quarantine, uint64_t target,
    const crash_witness_t *witnesses, size_t n, time_us_t now);

/*
 * Records that an answer has begun. Returns the number of features that were
 * held and no longer are.
 */
size_t quarantine_note_answer(
    quarantine_t *quarantine, const features_t *features, time_us_t now);

/* One crash that counts against a feature. */
typedef struct {
	uint32_t request; /* low half of features_t.request */
	uint32_t target;  /* start of the target */
	int32_t age_ms;
} crash_report_t;

/* What an instance reports of one feature. Ages in ms; -1: never. */
typedef struct {
	uint64_t feature;
	int32_t answered_ms; /* last answer that began */
	int32_t held_ms;     /* held, or last probe failed */
	uint32_t n_failed;   /* probes that failed */
	int32_t probe_ms;    /* start of the last probe */
	uint32_t n_crashes;  /* of a held feature: the first one only */
	crash_report_t crashes[QUARANTINE_TRUSTED_CRASHES];
} quarantine_report_t;

/*
 * Writes reports: held features, suspects with several crashes and cleared
 * ones, each in turns if there are more than fit, then the latest suspects with
 * one crash. Returns how many.
 */
size_t quarantine_export(quarantine_t *quarantine, quarantine_report_t *reports,
    size_t limit, time_us_t now);

/* Merges reports. Returns the number of features that are held thereby. */
size_t quarantine_import(quarantine_t *quarantine,
    const quarantine_report_t *reports, size_t n, time_us_t now);

/* Forgets what is too old. Call a few times a second. */
void quarantine_expire(quarantine_t *quarantine, time_us_t now);

size_t quarantine_n_held(const quarantine_t *quarantine);
size_t quarantine_n_known(const quarantine_t *quarantine);

#endif
