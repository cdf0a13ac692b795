#ifndef COMMON_COUNTER_H
#define COMMON_COUNTER_H

#include <glib.h>
#include <stdint.h>

/*
 * Process-wide counters and gauges, exported in the Prometheus text format. A
 * counter is created on first use and lives until exit.
 * All functions may be called from any thread.
 */
typedef struct counter counter_t;

/*
 * Returns the counter with this name and label. label and value may both be
 * NULL for a counter without a label. Takes a lock: hot paths should keep the
 * pointer.
 */
counter_t *counter_get(const char *name, const char *label, const char *value);

void counter_add(counter_t *counter, int64_t amount);
/* Sets a gauge. */
void counter_set(counter_t *counter, int64_t value);
int64_t counter_read(const counter_t *counter);

/* Adds 1 to the counter with this name and label. */
void counter_increment(const char *name, const char *label, const char *value);

/* Appends all counters to text, sorted by name and label. */
void counter_write_all(GString *text);

#endif
