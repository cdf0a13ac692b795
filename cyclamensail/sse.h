#ifndef CYCLAMENSAIL_SSE_H
#define CYCLAMENSAIL_SSE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Splits a stream of server-sent events into complete events and counts their
 * tokens: one per event, except for the final "[DONE]".
 */
typedef struct {
	bool active;	  /* the answer is an event stream */
	GString *pending; /* bytes that are not consumed yet */
	int64_t tokens;	  /* of consumed events */
} sse_t;

void sse_reset(sse_t *sse, bool active);
void sse_clear(sse_t *sse);

/* Appends bytes; returns how many bytes of pending are complete events. */
size_t sse_append(sse_t *sse, const char *data, size_t len);

/* Removes the last len appended bytes. */
void sse_undo(sse_t *sse, size_t len);

/* Removes len bytes of complete events from the front; counts their tokens. */
void sse_consume(sse_t *sse, size_t len);

/* Discards an incomplete event at the end of a lost stream. */
void sse_drop_partial(sse_t *sse);

/*
 * Returns the tokens that a complete JSON answer of an engine reports in its
 * usage member, or -1 when it reports none. prompt_tokens is used when the
 * engine reports only its output tokens.
 */
int64_t answer_tokens(const char *text, size_t len, int64_t prompt_tokens);

#endif
