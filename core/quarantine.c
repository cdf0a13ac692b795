#include "core/quarantine.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define NEVER INT64_MIN

/* Time for which an instance reports that an answer cleared a suspect. */
#define CLEARED_REPORT_US (3 * US_PER_S)

/* Differences in reported times that come from the time messages take. */
#define REPORT_DELAY_US (200 * US_PER_MS)

/* Bounds the time between probes, to less than QUARANTINE_TTL_US. */
#define PROBE_FAILURE_LIMIT 3

/* Half of the reports are for held features, if there are as many. */
#define HELD_REPORT_LIMIT (QUARANTINE_REPORT_LIMIT / 2)

/* Suspects don't push out what is known of sound features beyond this. */
#define SUSPECT_LIMIT (QUARANTINE_TABLE_LIMIT / 2)

/* Features of one crash that become suspects. */
#define CRASH_FEATURE_LIMIT ((size_t)256)

/*
 * Reported probes closer than this to a known one are the same: messages make
 * their starts seem later.
 */
#define SAME_PROBE_US (2 * US_PER_S)

/* Features of one request that become suspects, however many requests. */
#define WITNESS_FEATURE_MIN ((size_t)4)

/* Bounds 2^stage. */
#define PROBE_STAGE_LIMIT 16

typedef struct {
	uint32_t request;
	uint32_t target;
	time_us_t at;
} crash_t;

/* Decides what is reported and what is evicted first. */
typedef enum {
	STANDING_KNOWN,	  /* no crash counts against it */
	STANDING_CLEARED, /* the same, after an answer within CLEARED_REPORT_US
			   */
	STANDING_SUSPECT,
	STANDING_HELD,
	STANDING_COUNT
} standing_t;

typedef struct {
	uint64_t id; /* hash key; must be the first member */
	standing_t standing;
	crash_t crashes[QUARANTINE_TRUSTED_CRASHES];
	size_t n_crashes;
	time_us_t answered_at;
	time_us_t held_at;
	crash_t first_crash; /* while held */
	time_us_t cleared_at;
	time_us_t probe_at; /* start of the last probe, of any instance */
	uint32_t n_failed;
	GList link; /* in its standing */
} entry_t;

struct quarantine {
	GHashTable *entries;		    /* id -> entry_t */
	GQueue by_standing[STANDING_COUNT]; /* last changed at the tail */
	guint single_turn; /* next suspect with one crash to export */
};

quarantine_t *
quarantine_create(void)
{
	quarantine_t *quarantine = g_new0(quarantine_t, 1);

	quarantine->entries =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return quarantine;
}

void
quarantine_destroy(quarantine_t *quarantine)
{
	if (quarantine == NULL)
		return;
	g_hash_table_destroy(quarantine->entries);
	g_free(quarantine);
}

static uint64_t
service_seed(const char *service)
{
	return XXH3_64bits(service, strlen(service));
}

void
features_add_part(features_t *features, const char *service, uint64_t part)
{
	/* The last place is for the request as a whole. */
	if (features->n < QUARANTINE_FEATURE_LIMIT - 1)
		features->ids[features->n++] = XXH3_64bits_withSeed(
		    &part, sizeof(part), service_seed(service));
}

void
features_add_request(features_t *features, const char *service,
    const char *team, const char *path, const void *body, size_t len)
{
	uint64_t hash = service_seed(service);

	if (team != NULL)
		hash = XXH3_64bits_withSeed(team, strlen(team) + 1, hash);
	hash = XXH3_64bits_withSeed(path, strlen(path) + 1, hash);
	hash = XXH3_64bits_withSeed(body, len, hash);
	features->request = hash;
	features->ids[features->n++] = hash;
}

static entry_t *
entry_find(const quarantine_t *quarantine, uint64_t id)
{
	return g_hash_table_lookup(quarantine->entries, &id);
}

static void
entry_remove(quarantine_t *quarantine, entry_t *entry)
{
	g_queue_unlink(&quarantine->by_standing[entry->standing], &entry->link);
	g_hash_table_remove(quarantine->entries, &entry->id);
}

/* Moves the entry to the tail of its standing. */
static void
entry_set_standing(
    quarantine_t *quarantine, entry_t *entry, standing_t standing)
{
	g_queue_unlink(&quarantine->by_standing[entry->standing], &entry->link);
	entry->standing = standing;
	g_queue_push_tail_link(
	    &quarantine->by_standing[standing], &entry->link);
}

/* Removes the entry whose loss matters least. */
static void
table_evict(quarantine_t *quarantine)
{
	entry_t *suspect =
	    g_queue_peek_head(&quarantine->by_standing[STANDING_SUSPECT]);

	if (quarantine->by_standing[STANDING_SUSPECT].length >= SUSPECT_LIMIT) {
		entry_remove(quarantine, suspect);
		return;
	}
	for (standing_t standing = STANDING_KNOWN; standing < STANDING_COUNT;
	     standing++) {
		entry_t *entry =
		    g_queue_peek_head(&quarantine->by_standing[standing]);

		if (entry == NULL)
			continue;
		entry_remove(quarantine, entry);
		return;
	}
}

static entry_t *
entry_get(quarantine_t *quarantine, uint64_t id)
{
	entry_t *entry = entry_find(quarantine, id);

	if (entry != NULL)
		return entry;
	if (g_hash_table_size(quarantine->entries) >= QUARANTINE_TABLE_LIMIT)
		table_evict(quarantine);
	entry = g_new0(entry_t, 1);
	entry->id = id;
	entry->answered_at = NEVER;
	entry->held_at = NEVER;
	entry->probe_at = NEVER;
	entry->link.data = entry;
	g_queue_push_tail_link(
	    &quarantine->by_standing[STANDING_KNOWN], &entry->link);
	g_hash_table_insert(quarantine->entries, &entry->id, entry);
	return entry;
}

static bool
is_held(const entry_t *entry)
{
	return entry != NULL && entry->standing == STANDING_HELD;
}

static void
crashes_drop_before(entry_t *entry, time_us_t at)
{
	size_t n = 0;

	for (size_t i = 0; i < entry->n_crashes; i++) {
		if (entry->crashes[i].at >= at)
			entry->crashes[n++] = entry->crashes[i];
	}
	entry->n_crashes = n;
}

static void
crashes_drop_since(entry_t *entry, time_us_t at)
{
	size_t n = 0;

	for (size_t i = 0; i < entry->n_crashes; i++) {
		if (entry->crashes[i].at < at)
			entry->crashes[n++] = entry->crashes[i];
	}
	entry->n_crashes = n;
}

/* Returns whether the feature is a request as a whole. */
static bool
crash_is_of_whole(const entry_t *entry, const crash_t *crash)
{
	return crash->request == (uint32_t)entry->id;
}

/*
 * Returns whether the crash says something that those known don't: another
 * target, after the crashes before, and for a part another request.
 */
static bool
crash_is_new(const entry_t *entry, const crash_t *crash, time_us_t sent_at,
    time_us_t gap)
{
	bool whole = crash_is_of_whole(entry, crash);

	if (entry->answered_at != NEVER && entry->answered_at >= crash->at)
		return false;
	for (size_t i = 0; i < entry->n_crashes; i++) {
		const crash_t *known = &entry->crashes[i];

		if (known->target == crash->target ||
		    (!whole && known->request == crash->request) ||
		    ABS(known->at - crash->at) < gap || sent_at <= known->at)
			return false;
	}
	return true;
}

static void
entry_add_crash(quarantine_t *quarantine, entry_t *entry, const crash_t *crash,
    time_us_t sent_at, time_us_t gap, time_us_t now)
{
	if (is_held(entry))
		return;
	crashes_drop_before(entry, now - QUARANTINE_EVIDENCE_US);
	if (crash->at < now - QUARANTINE_EVIDENCE_US ||
	    entry->n_crashes == G_N_ELEMENTS(entry->crashes) ||
	    !crash_is_new(entry, crash, sent_at, gap))
		return;
	entry->crashes[entry->n_crashes++] = *crash;
	entry_set_standing(quarantine, entry, STANDING_SUSPECT);
}

static bool
is_guilty(const entry_t *entry, time_us_t now)
{
	bool trusted = entry->answered_at != NEVER &&
		       now - entry->answered_at < QUARANTINE_TRUST_US;

	return entry->standing == STANDING_SUSPECT &&
	       entry->n_crashes >=
		   (trusted ? QUARANTINE_TRUSTED_CRASHES : QUARANTINE_CRASHES);
}

static crash_t
first_crash(const entry_t *entry)
{
	crash_t first = entry->crashes[0];

	for (size_t i = 1; i < entry->n_crashes; i++) {
		if (entry->crashes[i].at < first.at)
			first = entry->crashes[i];
	}
	return first;
}

static void
entry_hold(quarantine_t *quarantine, entry_t *entry, const crash_t *first_crash,
    time_us_t now)
{
	entry->held_at = now;
	entry->first_crash = *first_crash;
	entry->probe_at = NEVER;
	entry->n_crashes = 0;
	entry_set_standing(quarantine, entry, STANDING_HELD);
}

/*
 * Drops the crashes that a held feature explains from all suspects. A request
 * as a whole that comes again and again says nothing about the parts of others.
 */
static void
suspects_absolve(quarantine_t *quarantine, const entry_t *held)
{
	time_us_t since = held->first_crash.at;
	GList *next;

	if (crash_is_of_whole(held, &held->first_crash))
		return;

	for (GList *item = quarantine->by_standing[STANDING_SUSPECT].head;
	     item != NULL; item = next) {
		entry_t *entry = item->data;

		next = item->next;
		crashes_drop_since(entry, since - QUARANTINE_CRASH_GAP_US);
		if (entry->n_crashes == 0)
			entry_set_standing(quarantine, entry, STANDING_KNOWN);
	}
}

/* Holds all features with enough crashes. Returns how many. */
static size_t
suspects_judge(quarantine_t *quarantine, time_us_t now)
{
	entry_t *earliest = NULL;
	size_t n = 0;
	GList *next;

	for (GList *item = quarantine->by_standing[STANDING_SUSPECT].head;
	     item != NULL; item = next) {
		entry_t *entry = item->data;
		crash_t first;

		next = item->next;
		if (!is_guilty(entry, now))
			continue;
		first = first_crash(entry);
		entry_hold(quarantine, entry, &first, now);
		n++;
		if (!crash_is_of_whole(entry, &first) &&
		    (earliest == NULL || first.at < earliest->first_crash.at))
			earliest = entry;
	}
	if (earliest != NULL)
		suspects_absolve(quarantine, earliest);
	return n;
}

static time_us_t
probe_due(const entry_t *entry)
{
	return entry->held_at +
	       (QUARANTINE_PROBE_MIN_US
		   << (QUARANTINE_PROBE_FACTOR_BITS * entry->n_failed));
}

static bool
probe_is_in_flight(const entry_t *entry, time_us_t now)
{
	return entry->probe_at != NEVER &&
	       now - entry->probe_at < QUARANTINE_PROBE_MAX_US;
}

quarantine_check_t
quarantine_check(
    const quarantine_t *quarantine, const features_t *features, time_us_t now)
{
	quarantine_check_t check = {.verdict = QUARANTINE_PASS};
	size_t n_held = 0;

	if (quarantine_n_held(quarantine) == 0)
		return check;
	for (size_t i = 0; i < features->n; i++) {
		const entry_t *entry = entry_find(quarantine, features->ids[i]);
		time_us_t wait;

		if (!is_held(entry))
			continue;
		wait = probe_due(entry) - now;
		/* With several, a crash wouldn't say which one it was. */
		if (n_held++ > 0)
			wait = MAX(wait, QUARANTINE_PROBE_TURN_US);
		if (wait <= 0 && probe_is_in_flight(entry, now))
			wait = QUARANTINE_PROBE_TURN_US;
		check.feature = entry->id;
		if (wait > 0) {
			check.verdict = QUARANTINE_HOLD;
			check.retry_after = MAX(check.retry_after, wait);
		} else if (check.verdict == QUARANTINE_PASS) {
			uint64_t turn =
			    (uint64_t)(-wait / QUARANTINE_PROBE_TURN_US);

			check.probe_stage =
			    (uint32_t)MIN(turn / QUARANTINE_PROBE_STAGE_TURNS,
				PROBE_STAGE_LIMIT);

			check.verdict = QUARANTINE_PROBE;
			check.probe_turn = XXH3_64bits_withSeed(
			    &turn, sizeof(turn), entry->id ^ entry->n_failed);
		}
	}
	return check;
}

void
quarantine_begin_probe(
    quarantine_t *quarantine, const features_t *features, time_us_t now)
{
	for (size_t i = 0; i < features->n; i++) {
		entry_t *entry = entry_find(quarantine, features->ids[i]);

		if (is_held(entry))
			entry->probe_at = now;
	}
}

void
quarantine_end_probe(
    quarantine_t *quarantine, const features_t *features, time_us_t now)
{
	for (size_t i = 0; i < features->n; i++) {
		entry_t *entry = entry_find(quarantine, features->ids[i]);

		if (entry != NULL)
			entry->probe_at = now + QUARANTINE_PROBE_TURN_US -
					  QUARANTINE_PROBE_MAX_US;
	}
}

static void
entry_fail_probe(quarantine_t *quarantine, entry_t *entry, time_us_t now)
{
	entry->n_failed = MIN(entry->n_failed + 1, PROBE_FAILURE_LIMIT);
	entry_hold(quarantine, entry, &entry->first_crash, now);
}

/* Returns whether the request has a held feature, which explains its crash. */
static bool
witness_is_explained(
    quarantine_t *quarantine, const crash_witness_t *witness, time_us_t now)
{
	bool explained = false;

	for (size_t i = 0; i < witness->features.n; i++) {
		entry_t *entry =
		    entry_find(quarantine, witness->features.ids[i]);

		if (!is_held(entry))
			continue;
		explained |= !crash_is_of_whole(entry, &entry->first_crash);
		if (witness->probe)
			entry_fail_probe(quarantine, entry, now);
	}
	return explained;
}

/*
 * Makes up to limit features of the request suspects. Returns how many. The
 * request as a whole is the last one.
 */
static size_t
witness_suspect(quarantine_t *quarantine, const crash_witness_t *witness,
    uint64_t target, size_t limit, time_us_t now)
{
	const features_t *features = &witness->features;
	const crash_t crash = {
	    (uint32_t)features->request, (uint32_t)target, now};
	size_t n = MIN(features->n, limit);

	for (size_t i = features->n - n; i < features->n; i++)
		entry_add_crash(quarantine,
		    entry_get(quarantine, features->ids[i]), &crash,
		    witness->sent_at, QUARANTINE_CRASH_GAP_US, now);
	return n;
}

size_t
quarantine_note_crash(quarantine_t *quarantine, uint64_t target,
    const crash_witness_t *witnesses, size_t n, time_us_t now)
{
	bool explained = false;
	size_t n_features = 0;

	for (size_t i = 0; i < n; i++)
		explained |=
		    witness_is_explained(quarantine, &witnesses[i], now);
	if (explained)
		return 0;
	for (size_t i = 0; i < n; i++)
		n_features += witness_suspect(quarantine, &witnesses[i], target,
		    MIN(CRASH_FEATURE_LIMIT - n_features,
			MAX(WITNESS_FEATURE_MIN, CRASH_FEATURE_LIMIT / n)),
		    now);
	return suspects_judge(quarantine, now);
}

/*
 * Whether the answer began after that time. Reported times seem up to
 * REPORT_DELAY_US later than they are. A feature that crashes targets is never
 * answered, so the doubt goes in favour of the answer.
 */
static bool
answer_refutes(time_us_t answered_at, time_us_t at)
{
	return answered_at != NEVER && answered_at > at - REPORT_DELAY_US;
}

/* Has others learn that the feature was answered. */
static void
entry_report_cleared(quarantine_t *quarantine, entry_t *entry, time_us_t now)
{
	entry->cleared_at = now;
	entry_set_standing(quarantine, entry, STANDING_CLEARED);
}

/* Returns whether the feature was held and no longer is. */
static bool
entry_clear(quarantine_t *quarantine, entry_t *entry, time_us_t answered_at,
    time_us_t now)
{
	bool held = is_held(entry);
	bool suspected = held || entry->n_crashes > 0;

	entry->answered_at = answered_at;
	if (held && !answer_refutes(answered_at, entry->held_at))
		return false;
	crashes_drop_before(entry, answered_at + 1);
	entry->held_at = NEVER;
	entry->n_failed = 0;
	entry->probe_at = NEVER;
	if (entry->n_crashes > 0)
		return held;
	if (suspected)
		entry_report_cleared(quarantine, entry, now);
	else
		entry_set_standing(quarantine, entry, entry->standing);
	return held;
}

size_t
quarantine_note_answer(
    quarantine_t *quarantine, const features_t *features, time_us_t now)
{
	size_t n = 0;

	for (size_t i = 0; i < features->n; i++) {
		uint64_t id = features->ids[i];
		entry_t *entry = entry_find(quarantine, id);

		/* Few requests come twice, so they aren't remembered. */
		if (entry == NULL && id == features->request)
			continue;
		if (entry == NULL)
			entry = entry_get(quarantine, id);
		n += entry_clear(quarantine, entry, now, now);
	}
	return n;
}

static int32_t
age_ms(time_us_t at, time_us_t now)
{
	if (at == NEVER)
		return -1;
	return (int32_t)CLAMP((now - at) / US_PER_MS, 0, INT32_MAX);
}

static time_us_t
time_of_age(int32_t age, time_us_t now)
{
	return age < 0 ? NEVER : now - age * US_PER_MS;
}

static crash_report_t
crash_report(const crash_t *crash, time_us_t now)
{
	return (crash_report_t){
	    crash->request, crash->target, age_ms(crash->at, now)};
}

static crash_t
crash_of_report(const crash_report_t *report, time_us_t now)
{
	return (crash_t){
	    report->request, report->target, time_of_age(report->age_ms, now)};
}

static void
report_fill(quarantine_report_t *report, const entry_t *entry, time_us_t now)
{
	*report = (quarantine_report_t){
	    .feature = entry->id,
	    .answered_ms = age_ms(entry->answered_at, now),
	    .held_ms = age_ms(entry->held_at, now),
	    .n_failed = entry->n_failed,
	    .probe_ms = is_held(entry) ? age_ms(entry->probe_at, now) : -1,
	};
	if (is_held(entry)) {
		report->crashes[report->n_crashes++] =
		    crash_report(&entry->first_crash, now);
		return;
	}
	for (size_t i = 0; i < entry->n_crashes; i++)
		report->crashes[report->n_crashes++] =
		    crash_report(&entry->crashes[i], now);
}

typedef struct {
	quarantine_report_t *reports;
	size_t n;
	size_t limit;
	time_us_t now;
} export_t;

/*
 * Exports entries of one standing with at least min_crashes crashes, up to
 * limit reports, least recently exported first.
 */
static void
standing_export(quarantine_t *quarantine, export_t *export, standing_t standing,
    size_t min_crashes, size_t limit)
{
	guint left = g_queue_get_length(&quarantine->by_standing[standing]);
	GList *next;

	for (GList *item = quarantine->by_standing[standing].head;
	     left > 0 && export->n < limit; item = next, left--) {
		entry_t *entry = item->data;

		next = item->next;
		if (entry->n_crashes < min_crashes)
			continue;
		report_fill(&export->reports[export->n++], entry, export->now);
		entry_set_standing(quarantine, entry, standing);
	}
}

static void
single_export(export_t *export, const entry_t *entry)
{
	if (entry->n_crashes == 1 && export->n < export->limit)
		report_fill(&export->reports[export->n++], entry, export->now);
}

/*
 * Exports suspects with one crash, half of them the latest: most others that
 * matter have been answered since, or have a second crash.
 */
static void
singles_export(quarantine_t *quarantine, export_t *export)
{
	GQueue *suspects = &quarantine->by_standing[STANDING_SUSPECT];
	size_t limit = export->limit;
	const GList *item;

	export->limit = export->n + (limit - export->n + 1) / 2;
	for (item = suspects->tail; item != NULL && export->n < export->limit;
	     item = item->prev)
		single_export(export, item->data);
	export->limit = limit;
	for (guint i = 0; i < suspects->length && export->n < limit; i++) {
		item = g_queue_peek_nth_link(
		    suspects, quarantine->single_turn++ % suspects->length);
		single_export(export, item->data);
	}
}

size_t
quarantine_export(quarantine_t *quarantine, quarantine_report_t *reports,
    size_t limit, time_us_t now)
{
	export_t export = {reports, 0, limit, now};

	standing_export(quarantine, &export, STANDING_HELD, 0,
	    MIN(limit, HELD_REPORT_LIMIT));
	standing_export(quarantine, &export, STANDING_SUSPECT, 2, limit);
	standing_export(quarantine, &export, STANDING_CLEARED, 0, limit);
	singles_export(quarantine, &export);
	return export.n;
}

static void
import_held(quarantine_t *quarantine, entry_t *entry,
    const quarantine_report_t *report, time_us_t now)
{
	time_us_t held_at = time_of_age(report->held_ms, now);
	time_us_t probe_at = time_of_age(report->probe_ms, now);
	uint32_t n_failed = MIN(report->n_failed, PROBE_FAILURE_LIMIT);
	crash_t first = {.at = held_at};

	if (now - held_at >= QUARANTINE_TTL_US)
		return;
	if (answer_refutes(entry->answered_at, held_at)) {
		entry_report_cleared(quarantine, entry, now);
		return;
	}
	if (is_held(entry)) {
		/* The earliest time, so that delays don't add up. */
		if (n_failed > entry->n_failed ||
		    (n_failed == entry->n_failed && held_at < entry->held_at))
			entry->held_at = held_at;
		entry->n_failed = MAX(entry->n_failed, n_failed);
		if (n_failed == entry->n_failed && probe_at != NEVER &&
		    (entry->probe_at == NEVER ||
			probe_at > entry->probe_at + SAME_PROBE_US))
			entry->probe_at = probe_at;
		return;
	}
	entry->n_failed = n_failed;
	if (report->n_crashes > 0 && report->crashes[0].age_ms >= 0)
		first = crash_of_report(&report->crashes[0], now);
	first.at = MAX(first.at, held_at - QUARANTINE_EVIDENCE_US);
	entry_hold(quarantine, entry, &first, held_at);
	suspects_absolve(quarantine, entry);
}

static void
report_import(
    quarantine_t *quarantine, const quarantine_report_t *report, time_us_t now)
{
	time_us_t answered_at = time_of_age(report->answered_ms, now);
	entry_t *entry = entry_get(quarantine, report->feature);

	if (answered_at != NEVER &&
	    (entry->answered_at == NEVER ||
		answered_at > entry->answered_at + REPORT_DELAY_US) &&
	    (!is_held(entry) || answer_refutes(answered_at, entry->held_at)))
		entry_clear(quarantine, entry, answered_at, now);
	if (report->held_ms >= 0) {
		import_held(quarantine, entry, report, now);
		return;
	}
	if (is_held(entry))
		return;
	for (size_t i = 0;
	     i < MIN(report->n_crashes, G_N_ELEMENTS(report->crashes)); i++) {
		crash_t crash = crash_of_report(&report->crashes[i], now);

		if (crash.at != NEVER && entry->n_crashes == 0 &&
		    answer_refutes(entry->answered_at, crash.at))
			entry_report_cleared(quarantine, entry, now);
		if (crash.at != NEVER)
			entry_add_crash(quarantine, entry, &crash, INT64_MAX,
			    QUARANTINE_REPORT_GAP_US, now);
	}
}

size_t
quarantine_import(quarantine_t *quarantine, const quarantine_report_t *reports,
    size_t n, time_us_t now)
{
	size_t before = quarantine_n_held(quarantine);
	size_t after;

	for (size_t i = 0; i < n; i++)
		report_import(quarantine, &reports[i], now);
	suspects_judge(quarantine, now);
	after = quarantine_n_held(quarantine);
	return after > before ? after - before : 0;
}

static void
known_expire(quarantine_t *quarantine, time_us_t now)
{
	entry_t *entry;

	while ((entry = g_queue_peek_head(
		    &quarantine->by_standing[STANDING_KNOWN])) != NULL &&
	       (entry->answered_at == NEVER ||
		   now - entry->answered_at >= QUARANTINE_TTL_US))
		entry_remove(quarantine, entry);
}

void
quarantine_expire(quarantine_t *quarantine, time_us_t now)
{
	GList *next;

	for (GList *item = quarantine->by_standing[STANDING_HELD].head;
	     item != NULL; item = next) {
		entry_t *entry = item->data;

		next = item->next;
		if (now - entry->held_at >= QUARANTINE_TTL_US)
			entry_remove(quarantine, entry);
	}
	known_expire(quarantine, now);
	for (GList *item = quarantine->by_standing[STANDING_CLEARED].head;
	     item != NULL; item = next) {
		entry_t *entry = item->data;

		next = item->next;
		if (now - entry->cleared_at >= CLEARED_REPORT_US)
			entry_set_standing(quarantine, entry, STANDING_KNOWN);
	}
	for (GList *item = quarantine->by_standing[STANDING_SUSPECT].head;
	     item != NULL; item = next) {
		entry_t *entry = item->data;

		next = item->next;
		crashes_drop_before(entry, now - QUARANTINE_EVIDENCE_US);
		if (entry->n_crashes == 0)
			entry_set_standing(quarantine, entry, STANDING_KNOWN);
	}
}

size_t
quarantine_n_held(const quarantine_t *quarantine)
{
	return quarantine->by_standing[STANDING_HELD].length;
}

size_t
quarantine_n_known(const quarantine_t *quarantine)
{
	return g_hash_table_size(quarantine->entries);
}
