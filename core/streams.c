#include "core/streams.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

typedef struct {
	stream_record_t record;
	time_us_t at;
} known_t;

typedef struct {
	uint32_t service;
	uint32_t version;
	time_us_t last_at; /* when a target of it was listed */
} listed_t;

struct streams {
	GHashTable *known; /* id -> known_t */
	/* Ids of own records, in the order of their begin. */
	GArray *untold[STREAMS_AUDIENCE_COUNT];
	GArray *listed; /* listed_t, of the last STREAM_RECORD_AGE_US */
	time_us_t current_since; /* the list is up to date */
};

uint64_t
stream_id(const char *request_id)
{
	return XXH3_64bits(request_id, strlen(request_id));
}

uint32_t
stream_version(const char *service, const char *version)
{
	uint64_t hash = XXH3_64bits_withSeed(
	    version, strlen(version), XXH3_64bits(service, strlen(service)));

	return MAX(1u, (uint32_t)hash);
}

streams_t *
streams_create(time_us_t now)
{
	streams_t *streams = g_new0(streams_t, 1);

	streams->known =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	for (int i = 0; i < STREAMS_AUDIENCE_COUNT; i++)
		streams->untold[i] =
		    g_array_new(FALSE, FALSE, sizeof(uint64_t));
	streams->listed = g_array_new(FALSE, FALSE, sizeof(listed_t));
	streams->current_since = now;
	return streams;
}

void
streams_destroy(streams_t *streams)
{
	g_hash_table_destroy(streams->known);
	for (int i = 0; i < STREAMS_AUDIENCE_COUNT; i++)
		g_array_unref(streams->untold[i]);
	g_array_unref(streams->listed);
	g_free(streams);
}

void
streams_note_version(
    streams_t *streams, uint32_t service, uint32_t version, time_us_t now)
{
	listed_t listed = {service, version, now};

	for (guint i = 0; i < streams->listed->len; i++) {
		listed_t *other = &g_array_index(streams->listed, listed_t, i);

		if (other->service == service && other->version == version) {
			other->last_at = now;
			return;
		}
	}
	g_array_append_val(streams->listed, listed);
}

void
streams_note_gap(streams_t *streams, time_us_t now)
{
	streams->current_since = now;
}

/*
 * The only version of the service that was listed since then, or
 * STREAM_VERSION_UNKNOWN.
 */
static uint32_t
listed_version(const streams_t *streams, uint32_t service, time_us_t since)
{
	uint32_t version = STREAM_VERSION_UNKNOWN;

	for (guint i = 0; i < streams->listed->len; i++) {
		const listed_t *listed =
		    &g_array_index(streams->listed, listed_t, i);

		if (listed->service != service || listed->last_at < since)
			continue;
		if (version != STREAM_VERSION_UNKNOWN)
			return STREAM_VERSION_UNKNOWN;
		version = listed->version;
	}
	return version;
}

/*
 * The same in the life of a stream, if the list had no gap in it and is
 * current.
 */
static uint32_t
only_version(const streams_t *streams, uint32_t service, time_us_t life,
    bool current, time_us_t now)
{
	if (!current || now - streams->current_since < life)
		return STREAM_VERSION_UNKNOWN;
	return listed_version(streams, service, now - life);
}

static bool
record_add(streams_t *streams, const stream_record_t *record, time_us_t now)
{
	known_t *known = g_hash_table_lookup(streams->known, &record->id);

	if (known != NULL) {
		/* Of two attempts with one id, neither can be believed. */
		if (known->record.version != record->version)
			known->record.version = STREAM_VERSION_UNKNOWN;
		return false;
	}
	known = g_new(known_t, 1);
	*known = (known_t){*record, now};
	g_hash_table_insert(streams->known, &known->record.id, known);
	return true;
}

void
streams_begin(streams_t *streams, const stream_record_t *record, time_us_t now)
{
	if (!record_add(streams, record, now))
		return;
	for (int i = 0; i < STREAMS_AUDIENCE_COUNT; i++)
		g_array_append_val(streams->untold[i], record->id);
}

void
streams_import(streams_t *streams, const stream_record_t *record, time_us_t now)
{
	record_add(streams, record, now);
}

bool
streams_find(const streams_t *streams, uint64_t id, uint32_t service,
    time_us_t life, bool current, time_us_t now, uint32_t *version)
{
	const known_t *known = g_hash_table_lookup(streams->known, &id);

	if (known != NULL) {
		*version = known->record.version;
		return true;
	}
	*version = only_version(streams, service, life, current, now);
	return *version != STREAM_VERSION_UNKNOWN;
}

uint32_t
streams_only_version(const streams_t *streams, uint32_t service, bool current)
{
	return current ? listed_version(streams, service, 0)
		       : STREAM_VERSION_UNKNOWN;
}

size_t
streams_export(streams_t *streams, streams_audience_t audience,
    stream_record_t *records, size_t limit, bool current, time_us_t now)
{
	GArray *untold = streams->untold[audience];
	size_t n = 0;

	for (guint i = untold->len; i > 0 && n < limit; i--) {
		uint64_t id = g_array_index(untold, uint64_t, i - 1);
		const known_t *known = g_hash_table_lookup(streams->known, &id);
		bool needed =
		    known != NULL && now - known->at <= STREAM_LIFE_MIN_US;

		if (needed && audience == STREAMS_FOR_OTHERS &&
		    only_version(streams, known->record.service,
			STREAM_LIFE_MIN_US, current,
			now) != STREAM_VERSION_UNKNOWN)
			continue;
		if (needed)
			records[n++] = known->record;
		g_array_remove_index(untold, i - 1);
	}
	return n;
}

static void
untold_expire(const streams_t *streams, GArray *untold)
{
	for (guint i = untold->len; i > 0; i--) {
		uint64_t id = g_array_index(untold, uint64_t, i - 1);

		if (!g_hash_table_contains(streams->known, &id))
			g_array_remove_index(untold, i - 1);
	}
}

static gboolean
is_old(gpointer key, gpointer value, gpointer context)
{
	const known_t *known = value;
	const time_us_t *now = context;

	return *now - known->at > STREAM_RECORD_AGE_US;
}

void
streams_expire(streams_t *streams, time_us_t now)
{
	g_hash_table_foreach_remove(streams->known, is_old, &now);
	for (int i = 0; i < STREAMS_AUDIENCE_COUNT; i++)
		untold_expire(streams, streams->untold[i]);
	for (guint i = streams->listed->len; i > 0; i--) {
		const listed_t *listed =
		    &g_array_index(streams->listed, listed_t, i - 1);

		if (now - listed->last_at > STREAM_RECORD_AGE_US)
			g_array_remove_index_fast(streams->listed, i - 1);
	}
}
