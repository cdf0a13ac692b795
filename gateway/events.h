#ifndef GATEWAY_EVENTS_H
#define GATEWAY_EVENTS_H

#include <stdbool.h>
#include <stddef.h>

/*
 * How far a byte stream of server-sent events has been scanned. Initialized
 * with zeros.
 */
typedef struct {
	size_t line;	/* start of the first line that isn't complete */
	size_t scanned; /* bytes that hold no further end of a line */
} events_scan_t;

/*
 * Parses server-sent events in a byte stream. Returns the length of the longest
 * prefix that consists of complete events, and copies the id of the last event
 * that has one to last_id (NUL-terminated, size bytes). The next call is for
 * the text without this prefix, and with what has been received since.
 */
size_t events_complete(events_scan_t *scan, const char *text, size_t len,
    char *last_id, size_t size);

/*
 * Returns whether a stream ends within an event or within a line. text is what
 * follows its last complete event. Comments and empty lines are not events.
 */
bool events_truncated(const char *text, size_t len);

#endif
