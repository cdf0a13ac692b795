#include "core/targets.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "core/random.h"
#include "core/streams.h"

/* Weight of the newest result in the moving averages. */
#define FAILURE_WEIGHT 0.1
/* Weight of one instance's report in the average gap between events. */
#define PEER_GAP_WEIGHT 0.2
/* Time constant of the average gap between events. */
#define EVENT_GAP_TAU_US (400 * US_PER_MS)

/* Observations of paces that are kept until they are told to others. */
#define PACE_LOG_LIMIT 64

/* Load that a target reported is used for this long. */
#define REPORTED_LOAD_MAX_AGE_US (400 * US_PER_MS)

/*
 * The age of a notice doesn't include the time of its way here, so that an
 * answer that comes back by way of others looks newer by up to this.
 */
#define NOTICE_TRANSIT_US (250 * US_PER_MS)

/* An allowance that isn't used grows up to this time at its rate, or to 1. */
#define ALLOWANCE_BURST_S 0.1

/*
 * A target may be cold, state two rates, be replaced, be full, and be in
 * service while its removal is doubted.
 */
#define NOTICES_PER_TARGET 6

/* Of the notices in a message, the part that departures may take. */
#define NOTICES_DEPARTURE_DIVISOR 2

/* Others are told for this long that a target is in service. */
#define IN_SERVICE_TELL_US (600 * US_PER_MS)

/*
 * Time by which instances that aren't responsible for a check wait longer, and
 * the age from which they ask again.
 */
#define CHECK_OTHERS_DELAY_US (700 * US_PER_MS)
#define IN_SERVICE_OTHERS_INTERVAL_US US_PER_S

/* Age from which an answer that a target is in service is asked for again. */
#define IN_SERVICE_INTERVAL_US (500 * US_PER_MS)

/* Maximum number of prefixes remembered for one target of known capacity. */
#define PREFIX_LIMIT 4096

typedef struct {
	uint32_t tokens;
	time_us_t used_at;
} prefix_t;

typedef struct {
	target_load_t *loads;
	size_t n_loads;
	time_us_t received_at;
} peer_load_t;

struct targets {
	const topology_t *topology;
	int own_region;
	GHashTable *by_id;    /* char * in entry -> target_t */
	GHashTable *by_short; /* short id -> target_t */
	GPtrArray *all;
	GPtrArray *by_index; /* handle index -> target_t or NULL */
	uint32_t generation;
	bool evacuated[TOPOLOGY_ZONE_LIMIT];
	time_us_t divided_at; /* last targets_divide_slots() */
	bool publisher_down;
	time_us_t publisher_recovered_at;
	uint32_t isolated_instances; /* see targets_set_isolated() */
	time_us_t listed_at;	     /* see targets_note_listed() */
	guint notices_cursor;	     /* index of the next target to export */
	GHashTable *peers;	     /* load_sender_t -> peer_load_t */
	GHashTable *models;	     /* service name -> pace_model_t */
	departures_t *departures;
	int64_t era; /* of the entry or removal read last */
	pace_log_t *pace_logs[PACE_AUDIENCE_COUNT];
	void (*on_free)(target_t *, void *);
	void *on_free_context;
};

static void
peer_load_free(gpointer data)
{
	peer_load_t *load = data;

	g_free(load->loads);
	g_free(load);
}

targets_t *
targets_create(const topology_t *topology, int own_region)
{
	targets_t *targets = g_new0(targets_t, 1);

	targets->topology = topology;
	targets->own_region = own_region;
	targets->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	targets->by_short = g_hash_table_new(NULL, NULL);
	targets->all = g_ptr_array_new();
	targets->by_index = g_ptr_array_new();
	targets->peers =
	    g_hash_table_new_full(NULL, NULL, NULL, peer_load_free);
	targets->models =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	targets->departures = departures_create();
	for (int i = 0; i < PACE_AUDIENCE_COUNT; i++)
		targets->pace_logs[i] = pace_log_create(PACE_LOG_LIMIT);
	return targets;
}

static void
target_free(targets_t *targets, target_t *target)
{
	if (targets->on_free != NULL)
		targets->on_free(target, targets->on_free_context);
	g_ptr_array_index(targets->by_index, handle_index(target->handle)) =
	    NULL;
	g_ptr_array_remove_fast(targets->all, target);
	g_hash_table_destroy(target->prefixes);
	g_free(target);
}

void
targets_destroy(targets_t *targets)
{
	while (targets->all->len > 0)
		target_free(targets, g_ptr_array_index(targets->all, 0));
	g_hash_table_destroy(targets->by_id);
	g_hash_table_destroy(targets->by_short);
	g_hash_table_destroy(targets->peers);
	g_hash_table_destroy(targets->models);
	departures_destroy(targets->departures);
	for (int i = 0; i < PACE_AUDIENCE_COUNT; i++)
		pace_log_destroy(targets->pace_logs[i]);
	g_ptr_array_unref(targets->all);
	g_ptr_array_unref(targets->by_index);
	g_free(targets);
}

void
targets_on_free(
    targets_t *targets, void (*on_free)(target_t *, void *), void *context)
{
	targets->on_free = on_free;
	targets->on_free_context = context;
}

uint32_t
target_short_id(const char *id)
{
	return (uint32_t)XXH3_64bits(id, strlen(id));
}

static handle_t
handle_assign(targets_t *targets, target_t *target)
{
	guint index;

	targets->generation = generation_next(targets->generation);
	for (index = 0; index < targets->by_index->len; index++) {
		if (g_ptr_array_index(targets->by_index, index) == NULL)
			break;
	}
	if (index == targets->by_index->len)
		g_ptr_array_add(targets->by_index, NULL);
	g_ptr_array_index(targets->by_index, index) = target;
	return handle_make(index, targets->generation);
}

/* Adds the load that instances reported before the target was listed here. */
static void
peer_loads_add_new(const targets_t *targets, target_t *target)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, targets->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const peer_load_t *load = value;

		for (size_t i = 0; i < load->n_loads; i++) {
			const target_load_t *entry_load = &load->loads[i];

			if (entry_load->target != target->short_id)
				continue;
			target->peer_in_flight += entry_load->in_flight;
			target->peer_pending_tokens +=
			    entry_load->pending_tokens;
		}
	}
}

bool
target_version_is_certain(const target_t *target, time_us_t now)
{
	return target->unreachable_at == 0 ||
	       now - target->unreachable_at >= TARGET_ENTRY_DELAY_US;
}

static pace_model_t *
model_of_service(targets_t *targets, const char *service)
{
	pace_model_t *model = g_hash_table_lookup(targets->models, service);

	if (model != NULL)
		return model;
	model = g_new(pace_model_t, 1);
	pace_model_init(model);
	g_hash_table_insert(targets->models, g_strdup(service), model);
	return model;
}

static target_t *
target_add(targets_t *targets, const target_entry_t *entry)
{
	target_t *target = g_new0(target_t, 1);

	target->entry = *entry;
	target->table = targets;
	target->model = model_of_service(targets, entry->service);
	pace_init(&target->pace);
	for (target_rate_t rate = 0; rate < TARGET_RATE_COUNT; rate++)
		target->rates[rate].per_s = TARGET_NO_LIMIT;
	target->short_id = target_short_id(entry->id);
	target->version = stream_version(entry->service, entry->version);
	target->region = topology_region_of(targets->topology, entry->zone);
	target->prefixes =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	target->handle = handle_assign(targets, target);
	g_ptr_array_add(targets->all, target);
	g_hash_table_insert(targets->by_id, target->entry.id, target);
	g_hash_table_insert(
	    targets->by_short, GUINT_TO_POINTER(target->short_id), target);
	peer_loads_add_new(targets, target);
	return target;
}

/*
 * Removes the target from the lookups by id. Frees it unless requests are in
 * flight; in this case targets_expire() frees it later.
 */
static void
target_unlist(targets_t *targets, target_t *target)
{
	g_hash_table_remove(targets->by_id, target->entry.id);
	if (g_hash_table_lookup(targets->by_short,
		GUINT_TO_POINTER(target->short_id)) == target)
		g_hash_table_remove(
		    targets->by_short, GUINT_TO_POINTER(target->short_id));
	target->unlisted = true;
	if (target->in_flight == 0)
		target_free(targets, target);
}

/* A target that restarted with the same id is a different target. */
static bool
entry_is_different(const target_entry_t *a, const target_entry_t *b)
{
	return a->started_ms != b->started_ms || a->ip != b->ip ||
	       a->port != b->port || a->zone != b->zone ||
	       strcmp(a->service, b->service) != 0 ||
	       strcmp(a->version, b->version) != 0;
}

const departure_t *
targets_departure(const targets_t *targets, const target_t *target)
{
	return departures_find(
	    targets->departures, target->short_id, target_start_id(target));
}

/* Whether it is certain that the target leaves or has left. */
static bool
is_departing(const targets_t *targets, const target_t *target)
{
	const departure_t *departure = targets_departure(targets, target);

	return departure != NULL && departure->kind != DEPARTURE_REMOVED;
}

static departure_t
departure_of(const targets_t *targets, const target_t *target,
    departure_kind_t kind, revision_t revision, time_us_t known_at)
{
	return (departure_t){target->short_id, target_start_id(target), kind,
	    revision, known_at, target->region == targets->own_region};
}

/* Returns whether that is news. */
static bool
departure_note(targets_t *targets, const target_t *target,
    departure_kind_t kind, revision_t revision, time_us_t known_at,
    time_us_t now)
{
	departure_t departure =
	    departure_of(targets, target, kind, revision, known_at);

	return departures_note(targets->departures, &departure, false, now);
}

static bool
entry_is_later(const target_entry_t *entry, revision_t revision)
{
	return entry->revision.number == 0 ||
	       revision_compare(entry->revision, revision) > 0;
}

/*
 * Whether an entry shows that the target is in service, though it was known to
 * depart up to this revision. A target that said that it leaves stays departed;
 * only an entry without a start time may be of a new process.
 */
static bool
entry_ends_departure(
    const target_entry_t *entry, departure_kind_t kind, revision_t revision)
{
	return entry->state == TARGET_READY &&
	       (kind != DEPARTURE_LEAVING || entry->started_ms == 0) &&
	       entry_is_later(entry, revision);
}

static void
era_note(targets_t *targets, revision_t revision)
{
	if (revision.number != 0)
		targets->era = revision.era;
}

static void
removal_clear(target_t *target)
{
	target->removal_at = 0;
	target->removal_read = false;
	target->withheld = false;
}

/* The target may be in service; it is asked from check_from on. */
static void
removal_doubt(target_t *target, revision_t revision, time_us_t removal_at,
    time_us_t check_from, time_us_t now)
{
	if (revision_compare(revision, target->removal_revision) > 0)
		target->removal_revision = revision;
	if (target->removal_at != 0)
		return;
	target->removal_at = removal_at;
	target->removed_at = now;
	target->check_from = check_from;
	target->in_service_at = 0;
	target->next_check_at = check_from;
}

static void
departure_update(targets_t *targets, target_t *target, time_us_t now)
{
	const target_entry_t *entry = &target->entry;
	const departure_t *departure = targets_departure(targets, target);

	if (entry->state == TARGET_DRAINING)
		departure_note(targets, target, DEPARTURE_LEAVING,
		    entry->revision, now, now);
	else if (departure == NULL)
		return;
	else if (entry_ends_departure(
		     entry, departure->kind, departure->revision))
		departures_forget(
		    targets->departures, departure->target, departure->start);
	else if (departure->kind == DEPARTURE_REMOVED)
		removal_doubt(target, departure->revision,
		    now + TARGET_REMOVAL_GRACE_US, now, now);
}

target_t *
targets_put(targets_t *targets, const target_entry_t *entry, time_us_t now)
{
	target_t *target = targets_find(targets, entry->id);

	if (target != NULL && entry_is_different(&target->entry, entry)) {
		target_unlist(targets, target);
		target = NULL;
	}
	if (target == NULL)
		target = target_add(targets, entry);
	target->entry = *entry;
	if (entry_is_later(entry, target->removal_revision))
		removal_clear(target);
	era_note(targets, entry->revision);
	departure_update(targets, target, now);
	if (entry->cold_ms > 0)
		target->cold_until =
		    MAX(target->cold_until, now + entry->cold_ms * US_PER_MS);
	else
		target->cold_until = 0;
	return target;
}

/* Whether all entries that lapsed while it was away are listed again. */
static bool
publisher_is_settled(const targets_t *targets, time_us_t now)
{
	return !targets->publisher_down &&
	       (targets->publisher_recovered_at == 0 ||
		   now - targets->publisher_recovered_at >=
		       TARGET_REMOVAL_GRACE_US);
}

void
targets_remove(
    targets_t *targets, const char *id, revision_t revision, time_us_t now)
{
	target_t *target = targets_find(targets, id);
	time_us_t recovered_at;

	if (target == NULL)
		return;
	era_note(targets, revision);
	if (revision_compare(target->entry.revision, revision) > 0)
		revision = target->entry.revision;
	if (publisher_is_settled(targets, now) ||
	    is_departing(targets, target)) {
		departure_note(
		    targets, target, DEPARTURE_REMOVED, revision, now, now);
		target_unlist(targets, target);
		return;
	}
	/* The grace counts from the return, however late a removal is read. */
	recovered_at =
	    targets->publisher_down ? now : targets->publisher_recovered_at;
	removal_doubt(
	    target, revision, recovered_at + TARGET_REMOVAL_GRACE_US, now, now);
	target->removal_read = true;
}

/*
 * An answer within the grace shows that the target hasn't left. It is only
 * needed again from shortly before the grace ends.
 */
bool
target_removal_wants_check(
    const target_t *target, bool responsible, time_us_t now)
{
	time_us_t interval = responsible ? IN_SERVICE_INTERVAL_US
					 : IN_SERVICE_OTHERS_INTERVAL_US;

	if (target->removal_at == 0 || target->unlisted)
		return false;
	if (target->in_service_at == 0)
		return now >= target->check_from +
				  (responsible ? 0 : CHECK_OTHERS_DELAY_US);
	return now >= target->removal_at - interval &&
	       now - target->in_service_at >= interval;
}

bool
targets_note_leaving(targets_t *targets, target_t *target, time_us_t now)
{
	return departure_note(targets, target, DEPARTURE_LEAVING,
	    target->entry.revision, now, now);
}

/*
 * Ends the doubt. A target that the own source lists stays listed, as its entry
 * isn't reported again if the instance that told its removal is mistaken.
 * Returns whether the target was removed, and may be freed.
 */
static bool
removal_perform(
    targets_t *targets, target_t *target, departure_kind_t kind, time_us_t now)
{
	bool read = target->removal_read;

	target->withheld = true;
	departure_note(targets, target, kind, target->removal_revision,
	    target->removed_at, now);
	if (read)
		target_unlist(targets, target);
	return read;
}

bool
targets_note_health(
    targets_t *targets, target_t *target, bool in_service, time_us_t now)
{
	if (target->removal_at == 0 || target->unlisted)
		return false;
	if (in_service) {
		target->in_service_at = now;
		return false;
	}
	return removal_perform(targets, target, DEPARTURE_LEFT, now);
}

void
targets_set_publisher_reachable(
    targets_t *targets, bool reachable, time_us_t now)
{
	if (targets->publisher_down && reachable)
		targets->publisher_recovered_at = now;
	targets->publisher_down = !reachable;
}

static bool
removal_is_due(const targets_t *targets, const target_t *target, time_us_t now)
{
	if (target->removal_at == 0 || target->unlisted ||
	    now < target->removal_at ||
	    (target->withheld && !target->removal_read))
		return false;
	return publisher_is_settled(targets, now) ||
	       target->in_service_at == 0 ||
	       now - target->in_service_at >= TARGET_IN_SERVICE_MAX_AGE_US;
}

static void
peer_load_apply(targets_t *targets, const peer_load_t *load, int sign)
{
	for (size_t i = 0; i < load->n_loads; i++) {
		const target_load_t *entry_load = &load->loads[i];
		target_t *target = g_hash_table_lookup(
		    targets->by_short, GUINT_TO_POINTER(entry_load->target));

		if (target == NULL)
			continue;
		if (sign > 0) {
			target->peer_in_flight += entry_load->in_flight;
			target->peer_pending_tokens +=
			    entry_load->pending_tokens;
		} else {
			target->peer_in_flight -= entry_load->in_flight;
			target->peer_pending_tokens -=
			    entry_load->pending_tokens;
		}
	}
}

/* Drops the load of instances that stopped reporting. */
static void
peer_loads_expire(targets_t *targets, time_us_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, targets->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const peer_load_t *load = value;

		if (now - load->received_at < TARGET_PEER_LOAD_MAX_AGE_US)
			continue;
		peer_load_apply(targets, load, -1);
		g_hash_table_iter_remove(&iter);
	}
}

static bool
departure_is_listed(void *owner, const departure_t *departure)
{
	const targets_t *targets = owner;
	const target_t *target = g_hash_table_lookup(
	    targets->by_short, GUINT_TO_POINTER(departure->target));

	return target != NULL && target_start_id(target) == departure->start;
}

void
targets_expire(targets_t *targets, time_us_t now)
{
	peer_loads_expire(targets, now);
	for (guint i = targets->all->len; i > 0; i--) {
		target_t *target = g_ptr_array_index(targets->all, i - 1);

		if (removal_is_due(targets, target, now))
			removal_perform(
			    targets, target, DEPARTURE_REMOVED, now);
		else if (target->unlisted && target->in_flight == 0)
			target_free(targets, target);
	}
	departures_expire(
	    targets->departures, now, departure_is_listed, targets);
}

void
targets_set_evacuated(targets_t *targets, int zone, bool evacuated)
{
	if (zone >= 0 && zone < TOPOLOGY_ZONE_LIMIT)
		targets->evacuated[zone] = evacuated;
}

bool
targets_is_evacuated(const targets_t *targets, int zone)
{
	return zone >= 0 && zone < TOPOLOGY_ZONE_LIMIT &&
	       targets->evacuated[zone];
}

target_t *
targets_find(const targets_t *targets, const char *id)
{
	return g_hash_table_lookup(targets->by_id, id);
}

target_t *
targets_get(const targets_t *targets, handle_t handle)
{
	uint32_t index = handle_index(handle);
	target_t *target;

	if (handle == HANDLE_NONE || index >= targets->by_index->len)
		return NULL;
	target = g_ptr_array_index(targets->by_index, index);
	return target != NULL && target->handle == handle ? target : NULL;
}

size_t
targets_count(const targets_t *targets)
{
	return targets->all->len;
}

target_t *
targets_at(const targets_t *targets, size_t i)
{
	return g_ptr_array_index(targets->all, i);
}

bool
target_is_usable(const targets_t *targets, const target_t *target)
{
	return !target->unlisted && target->entry.state == TARGET_READY &&
	       target->region == targets->own_region &&
	       !targets_is_evacuated(targets, target->entry.zone) &&
	       !target->withheld && !is_departing(targets, target);
}

bool
target_note_replaced(target_t *target, time_us_t now)
{
	bool known = target_is_replaced(target, now);

	target->replaced_at = now;
	return !known;
}

bool
target_is_replaced(const target_t *target, time_us_t now)
{
	return target->replaced_at != 0 &&
	       now - target->replaced_at < TARGET_REPLACED_US;
}

bool
target_is_healthy(const target_t *target, time_us_t now)
{
	if (target_is_replaced(target, now) || now < target->backoff_until)
		return false;
	if (target->backoff > 0 && target->probing)
		return false;
	return target->last_activity_at == 0 ||
	       now - target->last_activity_at < TARGET_SILENCE_US;
}

void
targets_note_listed(targets_t *targets, revision_t revision, time_us_t now)
{
	targets->listed_at = now;
	if (revision.number == 0)
		return;
	for (guint i = 0; i < targets->all->len; i++) {
		target_t *target = g_ptr_array_index(targets->all, i);
		const departure_t *departure =
		    targets_departure(targets, target);

		if (target->unlisted || departure == NULL ||
		    departure->kind == DEPARTURE_LEAVING ||
		    (target->removal_at != 0 && target->removal_read) ||
		    revision_compare(revision, departure->revision) < 0)
			continue;
		removal_clear(target);
		departures_forget(
		    targets->departures, departure->target, departure->start);
	}
}

bool
targets_list_is_stale(const targets_t *targets, time_us_t now)
{
	return now - targets->listed_at > TARGET_LIST_MAX_AGE_US;
}

bool
target_is_cold(const target_t *target, time_us_t now)
{
	return now < target->cold_until || now < target->stated_cold_until;
}

void
target_note_cold(target_t *target, int64_t cold_ms, time_us_t now)
{
	target->maybe_restarted = false;
	target->stated_at = now;
	target->stated_cold_until =
	    cold_ms > 0 ? now + MIN(cold_ms, TARGET_COLD_MAX_MS) * US_PER_MS
			: 0;
}

uint32_t
target_start_id(const target_t *target)
{
	return (uint32_t)XXH3_64bits(
	    &target->entry.started_ms, sizeof(target->entry.started_ms));
}

static bool
is_stated(const stated_rate_t *stated)
{
	return stated->per_s >= 0;
}

bool
target_is_limited(const target_t *target)
{
	return is_stated(&target->rates[TARGET_RATE_REQUESTS]);
}

bool
target_is_fragile(const target_t *target)
{
	return is_stated(&target->rates[TARGET_RATE_REFUSALS]);
}

static bool
rate_set(stated_rate_t *stated, double per_s, time_us_t at, time_us_t now)
{
	bool changed = per_s != stated->per_s;

	stated->at = at;
	if (!changed)
		return false;
	stated->per_s = per_s;
	stated->told_until = now + TARGET_RATE_TELL_US;
	return true;
}

bool
target_note_rate(target_t *target, target_rate_t rate, double per_s,
    time_us_t sent_at, time_us_t now)
{
	stated_rate_t *stated = &target->rates[rate];

	if (per_s < 0 && (!is_stated(stated) || sent_at < stated->at))
		return false;
	return rate_set(stated, per_s, now, now);
}

uint32_t
target_n_senders(const target_t *target, time_us_t now)
{
	if (target_is_cold(target, now))
		return TARGET_COLD_SENDERS;
	if (target_is_limited(target))
		return (uint32_t)CLAMP(
		    target->rates[TARGET_RATE_REQUESTS].per_s,
		    TARGET_COLD_SENDERS, TARGET_LIMIT_SENDERS_MAX);
	return 0;
}

static target_notice_t
notice_create(const target_t *target, target_notice_kind_t kind, time_us_t at,
    double value, time_us_t now)
{
	return (target_notice_t){target->short_id, target_start_id(target),
	    kind, (uint32_t)((now - at) / US_PER_MS), (uint32_t)value};
}

static target_notice_t
rate_notice(const target_t *target, target_notice_kind_t kind,
    const stated_rate_t *stated, time_us_t now)
{
	double value = is_stated(stated) ? MIN(stated->per_s * 1000,
					       TARGET_NOTICE_NO_LIMIT - 1)
					 : TARGET_NOTICE_NO_LIMIT;

	return notice_create(target, kind, stated->at, value, now);
}

/* Writes the notices of a target, at most NOTICES_PER_TARGET. */
static size_t
notices_of(const target_t *target, target_notice_t *notices, time_us_t now)
{
	const stated_rate_t *requests = &target->rates[TARGET_RATE_REQUESTS];
	const stated_rate_t *refusals = &target->rates[TARGET_RATE_REFUSALS];
	size_t n = 0;

	if (now < target->stated_cold_until)
		notices[n++] = notice_create(target, TARGET_NOTICE_COLD,
		    target->stated_at,
		    (double)(target->stated_cold_until - now) / US_PER_MS, now);
	/*
	 * The limit is told for as long as it holds: an instance that may not
	 * send to the target gets no answer that states it.
	 */
	if (is_stated(requests) || now < requests->told_until)
		notices[n++] =
		    rate_notice(target, TARGET_NOTICE_LIMIT, requests, now);
	if (now < refusals->told_until)
		notices[n++] =
		    rate_notice(target, TARGET_NOTICE_REFUSALS, refusals, now);
	if (target_is_replaced(target, now))
		notices[n++] = notice_create(target, TARGET_NOTICE_REPLACED,
		    target->replaced_at, 0, now);
	if (target->refused && now - target->refused_at < TARGET_FULL_TELL_US)
		notices[n++] = notice_create(
		    target, TARGET_NOTICE_FULL, target->refused_at, 0, now);
	if (target->removal_at != 0 && target->in_service_at != 0 &&
	    now - target->in_service_at < IN_SERVICE_TELL_US)
		notices[n++] = notice_create(target, TARGET_NOTICE_IN_SERVICE,
		    target->in_service_at, 0, now);
	return n;
}

static target_notice_kind_t
departure_notice_kind(departure_kind_t kind)
{
	switch (kind) {
	case DEPARTURE_REMOVED:
		return TARGET_NOTICE_REMOVED;
	case DEPARTURE_LEFT:
		return TARGET_NOTICE_LEFT;
	case DEPARTURE_LEAVING:
		break;
	}
	return TARGET_NOTICE_LEAVING;
}

static size_t
departure_notices(targets_t *targets, target_notice_t *notices, size_t limit,
    bool round, time_us_t now)
{
	g_autofree departure_t *departures = g_new(departure_t, limit);
	size_t n_due = departures_export(
	    targets->departures, departures, limit, round, now);
	size_t n = 0;

	for (size_t i = 0; i < n_due; i++) {
		const departure_t *departure = &departures[i];

		/* Revisions of another era can't be compared. */
		if (departure->kind != DEPARTURE_LEAVING &&
		    departure->revision.era != targets->era)
			continue;
		notices[n++] = (target_notice_t){departure->target,
		    departure->start, departure_notice_kind(departure->kind),
		    (uint32_t)((now - departure->known_at) / US_PER_MS),
		    (uint32_t)departure->revision.number};
	}
	return n;
}

size_t
targets_export_notices(targets_t *targets, target_notice_t *notices,
    size_t limit, bool round, time_us_t now)
{
	guint len = targets->all->len;
	size_t n = departure_notices(
	    targets, notices, limit / NOTICES_DEPARTURE_DIVISOR, round, now);

	for (guint step = 0; step < len; step++) {
		guint at = targets->notices_cursor % len;
		const target_t *target = g_ptr_array_index(targets->all, at);
		target_notice_t own[NOTICES_PER_TARGET];
		size_t n_own =
		    target->unlisted ? 0 : notices_of(target, own, now);

		if (n + n_own > limit)
			break;
		memcpy(&notices[n], own, n_own * sizeof(own[0]));
		n += n_own;
		targets->notices_cursor = at + 1;
	}
	return n;
}

static bool
rate_import(
    stated_rate_t *stated, uint32_t value, time_us_t stated_at, time_us_t now)
{
	double per_s =
	    value == TARGET_NOTICE_NO_LIMIT ? TARGET_NO_LIMIT : value / 1000.0;

	if (stated_at > stated->at + NOTICE_TRANSIT_US)
		return rate_set(stated, per_s, stated_at, now);
	/* The sender doesn't know of a later answer. */
	if (stated_at < stated->at - NOTICE_TRANSIT_US &&
	    per_s != stated->per_s)
		stated->told_until = now + TARGET_RATE_TELL_US;
	return false;
}

static void
note_refused(target_t *target, time_us_t at)
{
	target->refused = true;
	target->refused_at = at;
	target->granted_slots = 0;
}

static bool
cold_import(
    target_t *target, uint32_t cold_ms, time_us_t stated_at, time_us_t now)
{
	if (stated_at <= target->stated_at + NOTICE_TRANSIT_US)
		return false;
	target_note_cold(target, cold_ms, now);
	target->stated_at = stated_at;
	return true;
}

bool
target_notice_is_departure(const target_notice_t *notice)
{
	return notice->kind == TARGET_NOTICE_REMOVED ||
	       notice->kind == TARGET_NOTICE_LEFT ||
	       notice->kind == TARGET_NOTICE_LEAVING;
}

/* The revision with these low bits that is nearest to a known one. */
static revision_t
revision_near(revision_t known, uint32_t low)
{
	int32_t distance = (int32_t)(low - (uint32_t)known.number);

	return (revision_t){known.era, known.number + distance};
}

static bool
departure_import(targets_t *targets, target_t *target, departure_kind_t kind,
    uint32_t revision, time_us_t known_at, time_us_t now)
{
	departure_t departure = departure_of(targets, target, kind,
	    revision_near(target->entry.revision, revision), known_at);

	if (entry_ends_departure(&target->entry, kind, departure.revision) ||
	    !departures_note(targets->departures, &departure, true, now))
		return false;
	/* The other instance may not know that entries have lapsed. */
	if (kind == DEPARTURE_REMOVED && departure.local)
		removal_doubt(target, departure.revision,
		    now + TARGET_REMOVAL_GRACE_US,
		    now + TARGET_TOLD_CHECK_DELAY_US, now);
	return departure.local;
}

static void
in_service_import(target_t *target, time_us_t stated_at)
{
	if (target->removal_at != 0 && stated_at > target->removed_at)
		target->in_service_at = MAX(target->in_service_at, stated_at);
}

target_t *
targets_import_notice(
    targets_t *targets, const target_notice_t *notice, time_us_t now)
{
	target_t *target = g_hash_table_lookup(
	    targets->by_short, GUINT_TO_POINTER(notice->target));
	time_us_t stated_at = now - (time_us_t)notice->age_ms * US_PER_MS;
	bool changed = false;

	if (target == NULL || target_start_id(target) != notice->start)
		return NULL;
	switch ((target_notice_kind_t)notice->kind) {
	case TARGET_NOTICE_COLD:
		changed = cold_import(target, notice->value, stated_at, now);
		break;
	case TARGET_NOTICE_LIMIT:
		changed = rate_import(&target->rates[TARGET_RATE_REQUESTS],
		    notice->value, stated_at, now);
		break;
	case TARGET_NOTICE_REFUSALS:
		changed = rate_import(&target->rates[TARGET_RATE_REFUSALS],
		    notice->value, stated_at, now);
		break;
	case TARGET_NOTICE_REPLACED:
		changed = !target_is_replaced(target, now) &&
			  now - stated_at < TARGET_REPLACED_US;
		if (changed)
			target->replaced_at = stated_at;
		break;
	case TARGET_NOTICE_FULL:
		if (stated_at > target->refused_at + NOTICE_TRANSIT_US &&
		    now - stated_at < TARGET_FULL_TELL_US)
			note_refused(target, stated_at);
		break;
	case TARGET_NOTICE_REMOVED:
		changed = departure_import(targets, target, DEPARTURE_REMOVED,
		    notice->value, stated_at, now);
		break;
	case TARGET_NOTICE_LEFT:
		changed = departure_import(targets, target, DEPARTURE_LEFT,
		    notice->value, stated_at, now);
		break;
	case TARGET_NOTICE_LEAVING:
		changed = departure_import(targets, target, DEPARTURE_LEAVING,
		    notice->value, stated_at, now);
		break;
	case TARGET_NOTICE_IN_SERVICE:
		in_service_import(target, stated_at);
		break;
	case TARGET_NOTICE_KIND_COUNT:
		break;
	}
	return changed ? target : NULL;
}

void
targets_set_isolated(targets_t *targets, uint32_t n_instances)
{
	targets->isolated_instances = n_instances;
}

/*
 * Refills the allowance at this rate. Returns whether there is a request in it.
 * initial: allowance after a time without a limit.
 */
static bool
allowance_refill(target_t *target, double per_s, double initial, time_us_t now)
{
	if (target->allowance_at == 0)
		target->allowance = initial;
	else
		target->allowance = MIN(MAX(1.0, per_s * ALLOWANCE_BURST_S),
		    target->allowance +
			per_s * (double)(now - target->allowance_at) /
			    US_PER_S);
	target->allowance_at = now;
	return target->allowance >= 1.0;
}

/*
 * Instances that are cut off at the same moment must not all send to the same
 * target at once.
 */
static double
isolated_initial(const target_t *target, time_us_t now)
{
	uint64_t random = (uint64_t)now ^ (uint64_t)target->short_id << 32;

	return (double)(random_next(&random) >> 11) / (double)(1ULL << 53);
}

/* Rate of all senders together to a cold or limited target; 0: no limit. */
static double
restricted_per_s(const target_t *target, double cold_per_s, time_us_t now)
{
	double per_s = target_is_cold(target, now) ? cold_per_s : 0;
	double limit_per_s = target->rates[TARGET_RATE_REQUESTS].per_s;

	if (target_is_limited(target) && (per_s <= 0 || limit_per_s < per_s))
		per_s = MAX(limit_per_s, TARGET_LIMIT_MIN_PER_S);
	return per_s;
}

target_admission_t
target_admits(const targets_t *targets, target_t *target, double cold_per_s,
    time_us_t now)
{
	double per_s = restricted_per_s(target, cold_per_s, now);

	if (target->maybe_restarted && cold_per_s > 0)
		return TARGET_OPEN_LATER;
	if (per_s > 0) {
		if (target->sender_share <= 0)
			return target_is_limited(target) ? TARGET_CLOSED
							 : TARGET_OPEN_LATER;
		return allowance_refill(
			   target, per_s * target->sender_share, 1.0, now)
			   ? TARGET_OPEN
			   : TARGET_OPEN_LATER;
	}
	if (targets->isolated_instances > 0 && cold_per_s > 0)
		return allowance_refill(target,
			   cold_per_s / targets->isolated_instances,
			   isolated_initial(target, now), now)
			   ? TARGET_OPEN
			   : TARGET_CLOSED;
	target->allowance_at = 0;
	return TARGET_OPEN;
}

/* Tokens of prompts that instances sent and that have no first token yet. */
static double
tokens_pending(const target_t *target)
{
	return MAX(0.0, target->pending_tokens + target->peer_pending_tokens);
}

void
target_attempt_begin(target_t *target, double tokens, double expected_ms,
    time_us_t now, target_attempt_t *attempt)
{
	*attempt = (target_attempt_t){.target = target->handle,
	    .tokens = tokens,
	    .expected_ms = expected_ms,
	    .sent_at = now,
	    .stated = pace_stated(&target->pace, now),
	    .tokens_ahead = tokens_pending(target),
	    .found_slot = target->in_flight + target->peer_in_flight <
			  MAX(1u, target->entry.slots)};
	pace_model_note_request(target->model, tokens);
	if (target->in_flight == 0)
		target->last_activity_at = now;
	target->in_flight++;
	if (target->granted_slots > 0)
		target->granted_slots--;
	target->pending_tokens += tokens;
	target->allowance -= 1;
	target->last_sent_at = now;
	if (target->backoff > 0)
		target->probing = true;
}

void
target_event_gap(target_t *target, time_us_t gap, time_us_t now)
{
	double ms = (double)gap / US_PER_MS;
	time_us_t since = now - target->event_gap_at;

	/* Weighted by time: a sample weighs less with many streams than with a
	 * single one. */
	if (target->event_gap_at == 0 || since > TARGET_GAP_MAX_AGE_US)
		target->event_gap_ms = ms;
	else
		target->event_gap_ms +=
		    (1 - exp(-(double)since / EVENT_GAP_TAU_US)) *
		    (ms - target->event_gap_ms);
	target->event_gap_at = now;
}

bool
target_is_slow(const target_t *target, double gap_limit_ms, time_us_t now)
{
	if (gap_limit_ms <= 0)
		return false;
	return (target->event_gap_ms > gap_limit_ms &&
		   now - target->event_gap_at <= TARGET_GAP_MAX_AGE_US) ||
	       (target->peer_event_gap_ms > gap_limit_ms &&
		   now - target->peer_event_gap_at <= TARGET_GAP_MAX_AGE_US);
}

/* Averages the gaps that several instances report. */
static void
peer_gap_update(target_t *target, double ms, time_us_t now)
{
	if (now - target->peer_event_gap_at > TARGET_GAP_MAX_AGE_US)
		target->peer_event_gap_ms = ms;
	else
		target->peer_event_gap_ms +=
		    PEER_GAP_WEIGHT * (ms - target->peer_event_gap_ms);
	target->peer_event_gap_at = now;
}

void
target_byte_received(target_t *target, time_us_t now)
{
	target->last_activity_at = now;
}

/*
 * Returns the observed time without a delay that a cache miss explains: counted
 * as slowness, a single prompt that had to be prefilled would move the next
 * ones away from the target that now has it cached.
 */
static double
ms_without_miss(const target_attempt_t *attempt, double observed)
{
	double expected = attempt->expected_ms;

	if (observed <= expected)
		return observed;
	return MAX(expected,
	    observed * expected / (expected + attempt->cache_miss_ms));
}

/* Learns from an answer. ratio: as pace_learn() takes it. */
static void
pace_observe(target_t *target, const pace_observation_t *observation,
    double ratio, time_us_t now)
{
	pace_learn(&target->pace, ratio);
	pace_model_learn(target->model, observation->tokens,
	    (double)observation->ms / pace_stated(&target->pace, now));
}

/* Ratio of an own attempt, whose prompt may have been cached or not. */
static double
own_ratio(const target_t *target, const target_attempt_t *attempt,
    double observed, time_us_t now)
{
	return target->pace.slowness * ms_without_miss(attempt, observed) /
	       attempt->expected_ms * attempt->stated /
	       pace_stated(&target->pace, now);
}

static double
told_ratio(const target_t *target, const pace_observation_t *observation,
    time_us_t now)
{
	return observation->ms / pace_stated(&target->pace, now) /
	       pace_model_ms(target->model, observation->tokens);
}

static uint32_t
stated_percent(const target_t *target, time_us_t now)
{
	if (target->pace.stated_at == 0)
		return 0;
	return (uint32_t)lround(100 * pace_stated(&target->pace, now));
}

static void
pace_tell(targets_t *targets, const pace_observation_t *observation)
{
	for (int i = 0; i < PACE_AUDIENCE_COUNT; i++)
		pace_log_add(targets->pace_logs[i], observation);
}

void
target_first_byte(target_t *target, target_attempt_t *attempt, time_us_t now)
{
	double observed = (double)(now - attempt->sent_at) / US_PER_MS;
	pace_observation_t observation = {.target = target->short_id,
	    .tokens = (uint32_t)(attempt->tokens_ahead + attempt->tokens),
	    .ms = (uint32_t)MAX(1, lround(observed)),
	    .stated = stated_percent(target, now)};

	if (attempt->first_byte)
		return;
	attempt->first_byte = true;
	target->pending_tokens -= attempt->tokens;
	/* The wait for a slot depends on answers, not on prompts. */
	if (attempt->expected_ms <= 0 || !attempt->found_slot)
		return;
	pace_observe(target, &observation,
	    own_ratio(target, attempt, observed, now), now);
	pace_tell(target->table, &observation);
}

bool
target_report_pace(target_t *target, double factor, time_us_t now)
{
	return pace_note_stated(&target->pace, factor, now);
}

const pace_model_t *
targets_model(const targets_t *targets, const char *service)
{
	return g_hash_table_lookup(targets->models, service);
}

size_t
targets_export_paces(targets_t *targets, pace_audience_t audience,
    pace_observation_t *observations, size_t limit, size_t *n_dropped)
{
	return pace_log_take(
	    targets->pace_logs[audience], observations, limit, n_dropped);
}

void
targets_import_paces(targets_t *targets, const pace_observation_t *observations,
    size_t n, bool pass_on, time_us_t now)
{
	for (size_t i = 0; i < n; i++) {
		const pace_observation_t *observation = &observations[i];
		target_t *target = g_hash_table_lookup(
		    targets->by_short, GUINT_TO_POINTER(observation->target));

		if (target == NULL)
			continue;
		if (observation->stated > 0)
			pace_note_stated(
			    &target->pace, observation->stated / 100.0, now);
		if (observation->ms > 0)
			pace_observe(target, observation,
			    told_ratio(target, observation, now), now);
		if (pass_on)
			pace_log_add(
			    targets->pace_logs[PACE_FOR_REGION], observation);
	}
}

static void
target_back_off(target_t *target, time_us_t now)
{
	target->backoff = target->backoff == 0
			      ? TARGET_BACKOFF_MIN_US
			      : MIN(2 * target->backoff, TARGET_BACKOFF_MAX_US);
	target->backoff_until = now + target->backoff;
}

static void
health_update(target_t *target, target_result_t result, time_us_t now)
{
	double failed = 1.0;

	switch (result) {
	case TARGET_RESULT_CANCELLED:
		return;
	case TARGET_RESULT_OK:
		failed = 0.0;
		target->consecutive_failures = 0;
		target->consecutive_breaks = 0;
		target->backoff = 0;
		target->backoff_until = 0;
		break;
	case TARGET_RESULT_REFUSED:
	case TARGET_RESULT_ERROR:
		if (++target->consecutive_failures >=
			TARGET_MAX_CONSECUTIVE_FAILURES &&
		    now >= target->backoff_until)
			target_back_off(target, now);
		break;
	case TARGET_RESULT_BROKEN:
		if (++target->consecutive_breaks >=
			TARGET_MAX_CONSECUTIVE_BREAKS &&
		    now >= target->backoff_until)
			target_back_off(target, now);
		break;
	case TARGET_RESULT_UNREACHABLE:
		if (now >= target->backoff_until)
			target_back_off(target, now);
		break;
	}
	target->failure_rate +=
	    FAILURE_WEIGHT * (failed - target->failure_rate);
}

bool
target_attempt_finish(target_t *target, target_attempt_t *attempt,
    target_result_t result, time_us_t now)
{
	bool full =
	    result == TARGET_RESULT_REFUSED && target_is_fragile(target);
	bool is_news = full && !target->refused;

	if (!attempt->first_byte)
		target->pending_tokens -= attempt->tokens;
	target->in_flight--;
	/* A full target freed no slot by refusing this request. */
	if (result != TARGET_RESULT_REFUSED)
		target->granted_slots++;
	else if (full)
		note_refused(target, now);
	target->probing = false;
	if (target->in_flight == 0) {
		target->pending_tokens = 0;
		target->last_activity_at = 0;
	} else if (result == TARGET_RESULT_OK) {
		target->last_activity_at = now;
	}
	if (result == TARGET_RESULT_UNREACHABLE)
		target->unreachable_at = now;
	health_update(target, result, now);
	*attempt = (target_attempt_t){0};
	return is_news;
}

void
target_report_load(
    target_t *target, uint32_t running, uint32_t waiting, time_us_t now)
{
	double attributed = target->in_flight + target->peer_in_flight;
	double untracked_load = (double)running + waiting - attributed;
	double weight = 1.0 - exp(-(double)(now - target->reported_at) /
				  TARGET_UNTRACKED_TAU_US);

	target->untracked_load +=
	    weight * (untracked_load - target->untracked_load);
	target->reported_running = running;
	target->reported_waiting = waiting;
	target->reported_at = now;
}

/* Rounded down: the age of the reports explains a difference of one request. */
static uint32_t
untracked_now(const target_t *target, time_us_t now)
{
	time_us_t age = now - target->reported_at;

	if (target->untracked_load <= 0 || age >= TARGET_UNTRACKED_MAX_AGE_US)
		return 0;
	return (uint32_t)(target->untracked_load *
			  (1.0 - (double)age / TARGET_UNTRACKED_MAX_AGE_US));
}

double
target_expected_ms(const target_t *target, double tokens, time_us_t now)
{
	return pace_factor(&target->pace, now) *
	       pace_model_ms(target->model, tokens_pending(target) + tokens);
}

double
target_prefill_ms(const target_t *target, double tokens, time_us_t now)
{
	return pace_factor(&target->pace, now) * target->model->token_ms *
	       tokens;
}

uint32_t
target_in_flight(const target_t *target, time_us_t now)
{
	uint32_t known = target->in_flight + target->peer_in_flight +
			 untracked_now(target, now);
	uint32_t reported = target->reported_running + target->reported_waiting;

	if (target->reported_at != 0 &&
	    now - target->reported_at < REPORTED_LOAD_MAX_AGE_US)
		return MAX(known, reported);
	return known;
}

static uint32_t
free_slots(const target_t *target, time_us_t now)
{
	uint32_t slots = MAX(1u, target->entry.slots);
	uint32_t in_flight = target_in_flight(target, now);

	return in_flight < slots ? slots - in_flight : 0;
}

bool
target_is_contended(
    const target_t *target, uint32_t n_contenders, time_us_t now)
{
	return free_slots(target, now) <=
	       MIN(target->entry.slots / 2,
		   n_contenders / TARGET_CONTENDED_DIVISOR);
}

bool
target_has_slot(const target_t *target, uint32_t n_contenders, time_us_t now)
{
	if (!target_is_fragile(target) &&
	    !target_is_contended(target, n_contenders, now))
		return true;
	return free_slots(target, now) > 0 && target->granted_slots > 0;
}

/* Whether a fragile target that refused a request is tried again. */
static bool
is_tried_again(const target_t *target, uint32_t region_instances,
    time_us_t elapsed, uint64_t *random)
{
	double per_s = MAX(
	    target->rates[TARGET_RATE_REFUSALS].per_s * TARGET_REFUSALS_RISKED,
	    TARGET_LIMIT_MIN_PER_S);
	double chance = per_s * (double)elapsed / US_PER_S / region_instances;

	return (double)(random_next(random) >> 11) / (double)(1ULL << 53) <
	       chance;
}

/*
 * Instances that may want a slot at the same moment. While a fragile target is
 * hardly used, few do.
 */
static uint32_t
n_slot_contenders(
    const target_t *target, uint32_t region_instances, uint32_t n_free)
{
	if (target_is_fragile(target) && n_free > target->entry.slots / 2)
		return MAX(1u, region_instances / TARGET_CONTENDED_DIVISOR);
	return region_instances;
}

void
targets_divide_slots(targets_t *targets, uint32_t region_instances,
    uint64_t *random, time_us_t now)
{
	time_us_t elapsed = now - targets->divided_at;

	region_instances = MAX(1u, region_instances);
	targets->divided_at = now;
	for (guint i = 0; i < targets->all->len; i++) {
		target_t *target = g_ptr_array_index(targets->all, i);
		uint32_t n_free;
		uint32_t n;

		if (target->region != targets->own_region)
			continue;
		if (target->refused) {
			if (target_is_fragile(target) &&
			    !is_tried_again(
				target, region_instances, elapsed, random))
				continue;
			target->refused = false;
		}
		n_free = free_slots(target, now);
		n = n_slot_contenders(target, region_instances, n_free);
		target->granted_slots = n_free / n;
		/* The remainder is handed out at random, correct on average. */
		if (random_next(random) % n < n_free % n)
			target->granted_slots++;
	}
}

size_t
target_prefix_cached(
    const target_t *target, const uint64_t *chain, size_t n_parts)
{
	size_t held = 0;

	while (held < n_parts &&
	       g_hash_table_contains(target->prefixes, &chain[held]))
		held++;
	return held;
}

/* Evicts the least recently used prefixes. */
static void
prefixes_evict(target_t *target, uint64_t capacity)
{
	while (target->prefix_tokens > capacity ||
	       g_hash_table_size(target->prefixes) > PREFIX_LIMIT) {
		GHashTableIter iter;
		gpointer key, value;
		gpointer oldest = NULL;
		time_us_t oldest_at = INT64_MAX;
		uint32_t tokens = 0;

		g_hash_table_iter_init(&iter, target->prefixes);
		while (g_hash_table_iter_next(&iter, &key, &value)) {
			const prefix_t *prefix = value;

			if (prefix->used_at < oldest_at) {
				oldest_at = prefix->used_at;
				oldest = key;
				tokens = prefix->tokens;
			}
		}
		if (oldest == NULL)
			return;
		target->prefix_tokens -= tokens;
		g_hash_table_remove(target->prefixes, oldest);
	}
}

void
target_prefix_add(target_t *target, const uint64_t *chain,
    const uint32_t *tokens, size_t n_parts, uint64_t capacity, time_us_t now)
{
	for (size_t i = 0; i < n_parts; i++) {
		prefix_t *prefix =
		    g_hash_table_lookup(target->prefixes, &chain[i]);

		if (prefix == NULL) {
			uint64_t *key = g_new(uint64_t, 1);

			*key = chain[i];
			prefix = g_new(prefix_t, 1);
			prefix->tokens = tokens[i];
			target->prefix_tokens += tokens[i];
			g_hash_table_insert(target->prefixes, key, prefix);
		}
		/* Later parts are evicted before the parts they follow. */
		prefix->used_at = now - (time_us_t)i;
	}
	if (capacity > 0)
		prefixes_evict(target, capacity);
}

void
targets_peer_load(targets_t *targets, load_sender_t sender,
    const target_load_t *loads, size_t n_loads, time_us_t now)
{
	peer_load_t *load =
	    g_hash_table_lookup(targets->peers, GUINT_TO_POINTER(sender));

	if (load == NULL) {
		load = g_new0(peer_load_t, 1);
		g_hash_table_insert(
		    targets->peers, GUINT_TO_POINTER(sender), load);
	}
	peer_load_apply(targets, load, -1);
	g_free(load->loads);
	load->loads = g_memdup2(loads, n_loads * sizeof(*loads));
	load->n_loads = n_loads;
	load->received_at = now;
	peer_load_apply(targets, load, 1);
	for (size_t i = 0; i < n_loads; i++) {
		target_t *target = g_hash_table_lookup(
		    targets->by_short, GUINT_TO_POINTER(loads[i].target));

		if (target != NULL && loads[i].event_gap_ms > 0)
			peer_gap_update(target, loads[i].event_gap_ms, now);
	}
}

static gint
load_compare(gconstpointer a, gconstpointer b)
{
	const target_load_t *left = a;
	const target_load_t *right = b;

	return left->in_flight < right->in_flight
		   ? 1
		   : -(left->in_flight > right->in_flight);
}

/* Load that this instance puts on the listed targets. */
static GArray *
own_load(const targets_t *targets, time_us_t now)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(target_load_t));

	for (guint i = 0; i < targets->all->len; i++) {
		const target_t *target = g_ptr_array_index(targets->all, i);
		target_load_t load = {target->short_id, target->in_flight,
		    (uint32_t)MAX(0, target->pending_tokens), 0};

		if (now - target->event_gap_at <= TARGET_GAP_MAX_AGE_US)
			load.event_gap_ms = (uint32_t)target->event_gap_ms;

		if (load.in_flight > 0 && !target->unlisted)
			g_array_append_val(all, load);
	}
	return all;
}

/* Writes the busiest targets if there are more than limit. */
static size_t
loads_write(GArray *all, target_load_t *loads, size_t limit)
{
	size_t n = MIN(all->len, limit);

	if (n < all->len)
		g_array_sort(all, load_compare);
	if (n > 0)
		memcpy(loads, all->data, n * sizeof(*loads));
	return n;
}

size_t
targets_own_load(
    const targets_t *targets, target_load_t *loads, size_t limit, time_us_t now)
{
	g_autoptr(GArray) all = own_load(targets, now);

	return loads_write(all, loads, limit);
}

/* Adds a load to the entry of its target, which it creates if there is none. */
static void
load_add(GArray *all, GHashTable *index_by_target, const target_load_t *load)
{
	gpointer index;
	target_load_t *sum;

	if (!g_hash_table_lookup_extended(index_by_target,
		GUINT_TO_POINTER(load->target), NULL, &index)) {
		g_hash_table_insert(index_by_target,
		    GUINT_TO_POINTER(load->target), GUINT_TO_POINTER(all->len));
		g_array_append_val(all, *load);
		return;
	}
	sum = &g_array_index(all, target_load_t, GPOINTER_TO_UINT(index));
	/* The average gap of those streams whose gap is known. */
	if (sum->event_gap_ms == 0)
		sum->event_gap_ms = load->event_gap_ms;
	else if (load->event_gap_ms > 0)
		sum->event_gap_ms = (sum->event_gap_ms * sum->in_flight +
					load->event_gap_ms * load->in_flight) /
				    MAX(1, sum->in_flight + load->in_flight);
	sum->in_flight += load->in_flight;
	sum->pending_tokens += load->pending_tokens;
}

size_t
targets_zone_load(const targets_t *targets, target_load_t *loads, size_t limit,
    uint32_t *n_instances, time_us_t now)
{
	g_autoptr(GArray) all = own_load(targets, now);
	g_autoptr(GHashTable) index_by_target = g_hash_table_new(NULL, NULL);
	GHashTableIter iter;
	gpointer sender;
	gpointer value;

	for (guint i = 0; i < all->len; i++) {
		const target_load_t *load =
		    &g_array_index(all, target_load_t, i);

		g_hash_table_insert(index_by_target,
		    GUINT_TO_POINTER(load->target), GUINT_TO_POINTER(i));
	}
	*n_instances = 1;
	g_hash_table_iter_init(&iter, targets->peers);
	while (g_hash_table_iter_next(&iter, &sender, &value)) {
		const peer_load_t *load = value;

		if (load_sender_is_zone(GPOINTER_TO_UINT(sender)) ||
		    now - load->received_at >= TARGET_PEER_LOAD_MAX_AGE_US)
			continue;
		(*n_instances)++;
		for (size_t i = 0; i < load->n_loads; i++)
			load_add(all, index_by_target, &load->loads[i]);
	}
	return loads_write(all, loads, limit);
}
