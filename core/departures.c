#include "core/departures.h"

#include <glib.h>

typedef struct {
	departure_t departure;
	time_us_t learnt_at; /* here, or when it last grew */
	time_us_t told_at;   /* last time in a round */
	uint32_t n_heard;    /* times that others told it since learnt_at */
} record_t;

struct departures {
	GHashTable *by_key; /* key -> record_t */
	GPtrArray *all;	    /* record_t */
	guint cursor;	    /* index of the next one to export */
};

static uint64_t
key_of(uint32_t target, uint32_t start)
{
	return (uint64_t)target << 32 | start;
}

departures_t *
departures_create(void)
{
	departures_t *departures = g_new0(departures_t, 1);

	departures->by_key =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	departures->all = g_ptr_array_new_with_free_func(g_free);
	return departures;
}

void
departures_destroy(departures_t *departures)
{
	g_hash_table_destroy(departures->by_key);
	g_ptr_array_unref(departures->all);
	g_free(departures);
}

static record_t *
record_find(const departures_t *departures, uint32_t target, uint32_t start)
{
	uint64_t key = key_of(target, start);

	return g_hash_table_lookup(departures->by_key, &key);
}

bool
departures_note(departures_t *departures, const departure_t *departure,
    bool told, time_us_t now)
{
	record_t *record =
	    record_find(departures, departure->target, departure->start);
	departure_t *known;

	if (record == NULL) {
		uint64_t key = key_of(departure->target, departure->start);

		record = g_new0(record_t, 1);
		record->departure = *departure;
		record->learnt_at = now;
		record->n_heard = told;
		g_hash_table_insert(
		    departures->by_key, g_memdup2(&key, sizeof(key)), record);
		g_ptr_array_add(departures->all, record);
		return true;
	}
	known = &record->departure;
	known->known_at = MIN(known->known_at, departure->known_at);
	if (revision_compare(departure->revision, known->revision) > 0)
		known->revision = departure->revision;
	if (departure->kind <= known->kind) {
		record->n_heard += told && departure->kind == known->kind;
		return false;
	}
	known->kind = departure->kind;
	record->learnt_at = now;
	record->n_heard = told;
	return true;
}

const departure_t *
departures_find(const departures_t *departures, uint32_t target, uint32_t start)
{
	record_t *record = record_find(departures, target, start);

	return record != NULL ? &record->departure : NULL;
}

static void
record_remove(departures_t *departures, record_t *record)
{
	uint64_t key =
	    key_of(record->departure.target, record->departure.start);

	g_hash_table_remove(departures->by_key, &key);
	g_ptr_array_remove_fast(departures->all, record);
}

void
departures_forget(departures_t *departures, uint32_t target, uint32_t start)
{
	record_t *record = record_find(departures, target, start);

	if (record != NULL)
		record_remove(departures, record);
}

void
departures_expire(departures_t *departures, time_us_t now,
    bool (*keep)(void *owner, const departure_t *departure), void *owner)
{
	for (guint i = departures->all->len; i > 0; i--) {
		record_t *record = g_ptr_array_index(departures->all, i - 1);

		if (now - record->learnt_at >= DEPARTURE_KEEP_US &&
		    !keep(owner, &record->departure))
			record_remove(departures, record);
	}
}

/* Whether the departure is told now. */
static bool
is_due(const record_t *record, bool round, time_us_t now)
{
	if (now - record->departure.known_at >= DEPARTURE_TELL_US)
		return false;
	if (!round && !record->departure.local)
		return false;
	if (now - record->learnt_at < DEPARTURE_FRESH_US &&
	    record->n_heard < DEPARTURE_HEARD_MIN)
		return true;
	return round && now - record->told_at >= DEPARTURE_RETELL_US;
}

size_t
departures_export(departures_t *departures, departure_t *out, size_t limit,
    bool round, time_us_t now)
{
	guint len = departures->all->len;
	size_t n = 0;

	for (guint step = 0; step < len && n < limit; step++) {
		record_t *record = g_ptr_array_index(
		    departures->all, departures->cursor++ % len);

		if (!is_due(record, round, now))
			continue;
		if (round)
			record->told_at = now;
		out[n++] = record->departure;
	}
	return n;
}
