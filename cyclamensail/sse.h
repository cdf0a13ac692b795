#ifndef CYCLAMENSAIL_SSE_H
#define CYCLAMENSAIL_SSE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Splits a stream of server-sent events into whole events and counts the tokens
 * in them: one an event, but for the final "[DONE]".
 */
typedef struct {
	bool active;	  /* the answer is an event stream */
	GString *pending; /* bytes of events that are not consumed */
	int64_t tokens;	  /* of consumed events */
} sse_t;

void sse_reset(sse_t *sse, bool active);
void sse_clear(sse_t *sse);

/* Appends bytes; returns how many bytes of pending are whole events. */
size_t sse_append(sse_t *sse, const char *data, size_t len);

/* Takes the last len appended bytes back. */
void sse_undo(sse_t *sse, size_t len);

/* Removes whole events from the front and counts their tokens. */
void sse_consume(sse_t *sse, size_t len);

/* Drops an incomplete event at the end of a lost stream. */
void sse_drop_partial(sse_t *sse);

/*
 * Tokens that a whole JSON answer of an engine used, by its usage member; -1
 * when it has none. prompt_tokens counts where the engine reports only its
 * output.
 */
int64_t answer_tokens(const char *text, size_t len, int64_t prompt_tokens);

#endif
