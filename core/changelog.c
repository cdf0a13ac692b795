#include "core/changelog.h"

#include <glib.h>
#include <string.h>

typedef struct {
	change_t change; /* owns its strings */
	GSequenceIter *position;
	GList history_link;
	bool newest; /* of its key */
} entry_t;

struct changelog {
	GHashTable *newest; /* key -> entry_t */
	GSequence *entries; /* owns them, by revision */
	size_t bytes;	    /* of all entries */
	/* Superseded values and removals, oldest first. */
	GQueue history;
	size_t history_bytes;
	int64_t complete_after; /* no later removal is missing; 0: unknown */
};

static void
entry_free(gpointer data)
{
	entry_t *entry = data;

	g_free((char *)entry->change.key);
	g_free((char *)entry->change.value);
	g_free(entry);
}

static size_t
entry_size(const entry_t *entry)
{
	const char *value = entry->change.value;

	return strlen(entry->change.key) + (value ? strlen(value) : 0);
}

static gint
entry_compare(gconstpointer a, gconstpointer b, gpointer context)
{
	const entry_t *left = a;
	const entry_t *right = b;

	return (left->change.revision > right->change.revision) -
	       (left->change.revision < right->change.revision);
}

changelog_t *
changelog_create(void)
{
	changelog_t *log = g_new0(changelog_t, 1);

	log->newest = g_hash_table_new(g_str_hash, g_str_equal);
	log->entries = g_sequence_new(entry_free);
	return log;
}

void
changelog_clear(changelog_t *log)
{
	/* The links of the history are parts of the entries. */
	g_queue_init(&log->history);
	log->history_bytes = 0;
	g_hash_table_remove_all(log->newest);
	g_sequence_remove_range(g_sequence_get_begin_iter(log->entries),
	    g_sequence_get_end_iter(log->entries));
	log->bytes = 0;
	log->complete_after = 0;
}

void
changelog_destroy(changelog_t *log)
{
	changelog_clear(log);
	g_hash_table_destroy(log->newest);
	g_sequence_free(log->entries);
	g_free(log);
}

static void
history_add(changelog_t *log, entry_t *entry)
{
	g_queue_push_tail_link(&log->history, &entry->history_link);
	log->history_bytes += entry_size(entry);
}

static void
history_forget_oldest(changelog_t *log)
{
	entry_t *entry = g_queue_peek_head(&log->history);

	g_queue_unlink(&log->history, &entry->history_link);
	log->history_bytes -= entry_size(entry);
	log->bytes -= entry_size(entry);
	if (entry->newest) {
		log->complete_after =
		    MAX(log->complete_after, entry->change.revision);
		g_hash_table_remove(log->newest, entry->change.key);
	}
	g_sequence_remove(entry->position);
}

static entry_t *
entry_add(
    changelog_t *log, const char *key, const char *value, int64_t revision)
{
	entry_t *entry = g_new0(entry_t, 1);

	entry->change = (change_t){g_strdup(key), g_strdup(value), revision};
	entry->history_link.data = entry;
	entry->newest = true;
	entry->position =
	    g_sequence_insert_sorted(log->entries, entry, entry_compare, NULL);
	log->bytes += entry_size(entry);
	return entry;
}

void
changelog_put(
    changelog_t *log, const char *key, const char *value, int64_t revision)
{
	entry_t *old = g_hash_table_lookup(log->newest, key);
	entry_t *entry;

	if (old != NULL && old->change.revision >= revision)
		return;
	entry = entry_add(log, key, value, revision);
	g_hash_table_replace(log->newest, (gpointer)entry->change.key, entry);
	if (old != NULL) {
		old->newest = false;
		/* A removal is in the history already. */
		if (old->change.value != NULL)
			history_add(log, old);
	}
	if (value == NULL)
		history_add(log, entry);
	while (log->history.length > CHANGELOG_HISTORY_LIMIT ||
	       log->history_bytes > CHANGELOG_HISTORY_BYTES)
		history_forget_oldest(log);
}

void
changelog_begin(changelog_t *log, int64_t revision)
{
	if (log->complete_after == 0)
		log->complete_after = revision;
}

bool
changelog_continues(const changelog_t *log, int64_t revision)
{
	return revision >= log->complete_after;
}

bool
changelog_has_after(const changelog_t *log, int64_t revision)
{
	GSequenceIter *end = g_sequence_get_end_iter(log->entries);
	const entry_t *last;

	if (g_sequence_iter_is_begin(end))
		return false;
	last = g_sequence_get(g_sequence_iter_prev(end));
	return last->change.revision > revision;
}

void
changelog_visit_after(const changelog_t *log, int64_t revision,
    changelog_visit_t visit, void *owner)
{
	entry_t bound = {.change.revision = revision};
	GSequenceIter *iter =
	    g_sequence_search(log->entries, &bound, entry_compare, NULL);

	for (; !g_sequence_iter_is_end(iter);
	     iter = g_sequence_iter_next(iter)) {
		const entry_t *entry = g_sequence_get(iter);

		if (!visit(owner, &entry->change))
			return;
	}
}

static gint
key_compare(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

void
changelog_visit_keys(const changelog_t *log, const char *after,
    changelog_visit_t visit, void *owner)
{
	g_autoptr(GList) keys =
	    g_list_sort(g_hash_table_get_keys(log->newest), key_compare);

	for (const GList *key = keys; key != NULL; key = key->next) {
		const entry_t *entry =
		    g_hash_table_lookup(log->newest, key->data);

		if (entry->change.value == NULL ||
		    (after != NULL && strcmp(entry->change.key, after) <= 0))
			continue;
		if (!visit(owner, &entry->change))
			return;
	}
}

size_t
changelog_bytes(const changelog_t *log)
{
	return log->bytes;
}
