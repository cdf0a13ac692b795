#ifndef COMMON_LOG_H
#define COMMON_LOG_H

#include <stdint.h>
#include <syslog.h>

/*
 * Structured log. Each event is one line of key=value pairs on standard output:
 *
 *     time=2026-01-31T10:00:00.123Z level=info program=cyclamensail pid=42
 *     event=ready zone=stred-1
 *
 * Values with bytes other than letters, digits and ._:/@%+- are quoted, and
 * control bytes, quotes and backslashes in them are escaped, so that a value
 * can't inject a field or a line.
 */
typedef struct {
	const char *key;
	const char *text; /* NULL: use number */
	int64_t number;
} log_field_t;

#define LOG_S(key, value) ((log_field_t){(key), (value) ? (value) : "", 0})
#define LOG_I(key, value) ((log_field_t){(key), NULL, (int64_t)(value)})

/* Logs an event with at least one field. priority is as in syslog(3). */
#define log_event(priority, event, ...) \
	log_write((priority), (event),  \
	    (const log_field_t[]){__VA_ARGS__, {NULL, NULL, 0}})

void log_write(int priority, const char *event, const log_field_t *fields);

/* Sets the program name of each line and the least urgent level logged. */
void log_open(const char *program, int max_priority);

/*
 * Maximum rate of lines less urgent than LOG_WARNING while buffering is
 * enabled. Lines above the limit are dropped and counted.
 */
#define LOG_LINES_PER_S 400

/*
 * Buffers lines until log_flush(), for single-threaded processes. Output then
 * never blocks: lines that exceed the buffer, the pipe or the rate limit are
 * dropped, and a line with event=log_dropped reports how many.
 */
void log_enable_buffering(void);
void log_flush(void);

#endif
