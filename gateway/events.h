#ifndef GATEWAY_EVENTS_H
#define GATEWAY_EVENTS_H

#include <stddef.h>

/*
 * Server-sent events in a byte stream. Returns the length of the leading bytes
 * that hold whole events only, and writes the id of the last one to last_id
 * (terminated, size bytes) when one of them has an id.
 */
size_t events_complete(
    const char *text, size_t len, char *last_id, size_t size);

#endif
