#ifndef COMMON_LOG_H
#define COMMON_LOG_H

#include <stdint.h>
#include <syslog.h>

/*
 * Structured log. Each event is one line on standard error:
 *
 *     <6>2026-01-31T10:00:00.123Z cyclamensail[42]: event=ready zone=stred-1
 *
 * The number in angle brackets is the syslog(3) priority. Values with bytes
 * other than letters, digits and ._:/@%+- are quoted, and control bytes, quotes
 * and backslashes in them are escaped, so that a value can't forge a field or a
 * line.
 */
typedef struct {
	const char *key;
	const char *text; /* NULL: use number */
	int64_t number;
} log_field_t;

#define LOG_S(key, value) ((log_field_t){(key), (value) ? (value) : "", 0})
#define LOG_I(key, value) ((log_field_t){(key), NULL, (int64_t)(value)})

/* Logs an event with at least one field. priority is one of LOG_ERR ... */
#define log_event(priority, event, ...) \
	log_write((priority), (event),  \
	    (const log_field_t[]){__VA_ARGS__, {NULL, NULL, 0}})

void log_write(int priority, const char *event, const log_field_t *fields);

/* Sets the program name in each line and the least urgent priority shown. */
void log_open(const char *program, int max_priority);

#endif
