#include "common/counter.h"

#include <ck_pr.h>
#include <pthread.h>
#include <string.h>

struct counter {
	uint64_t value;
	char *id; /* name{label="value"} */
};

static pthread_mutex_t counter_lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *counter_table;

static char *
id_format(const char *name, const char *label, const char *value)
{
	g_autofree char *escaped = NULL;

	if (label == NULL)
		return g_strdup(name);
	escaped = g_strescape(value, NULL);
	return g_strdup_printf("%s{%s=\"%s\"}", name, label, escaped);
}

counter_t *
counter_get(const char *name, const char *label, const char *value)
{
	g_autofree char *id = id_format(name, label, value);
	counter_t *counter;

	pthread_mutex_lock(&counter_lock);
	if (counter_table == NULL)
		counter_table = g_hash_table_new(g_str_hash, g_str_equal);
	counter = g_hash_table_lookup(counter_table, id);
	if (counter == NULL) {
		counter = g_new0(counter_t, 1);
		counter->id = g_strdup(id);
		g_hash_table_insert(counter_table, counter->id, counter);
	}
	pthread_mutex_unlock(&counter_lock);
	return counter;
}

void
counter_add(counter_t *counter, int64_t amount)
{
	ck_pr_add_64(&counter->value, (uint64_t)amount);
}

void
counter_set(counter_t *counter, int64_t value)
{
	ck_pr_store_64(&counter->value, (uint64_t)value);
}

int64_t
counter_read(const counter_t *counter)
{
	return (int64_t)ck_pr_load_64(&counter->value);
}

void
counter_increment(const char *name, const char *label, const char *value)
{
	counter_add(counter_get(name, label, value), 1);
}

static int
id_compare(gconstpointer a, gconstpointer b)
{
	return strcmp(((const counter_t *)a)->id, ((const counter_t *)b)->id);
}

void
counter_write_all(GString *text)
{
	GList *counters;

	pthread_mutex_lock(&counter_lock);
	counters =
	    counter_table ? g_hash_table_get_values(counter_table) : NULL;
	counters = g_list_sort(counters, id_compare);
	for (GList *item = counters; item != NULL; item = item->next) {
		const counter_t *counter = item->data;

		g_string_append_printf(text, "%s %" G_GINT64_FORMAT "\n",
		    counter->id, counter_read(counter));
	}
	pthread_mutex_unlock(&counter_lock);
	g_list_free(counters);
}
