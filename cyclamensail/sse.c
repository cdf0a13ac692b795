#include "sse.h"

#include <jansson.h>
#include <string.h>

/* Longer events are passed on in pieces instead of being buffered. */
#define SSE_EVENT_LIMIT_BYTES ((size_t)32 * 1024)

#define DONE_EVENT "data: [DONE]"

void
sse_reset(sse_t *sse, bool active)
{
	sse->active = active;
	sse->tokens = 0;
	if (sse->pending == NULL)
		sse->pending = g_string_new(NULL);
	g_string_truncate(sse->pending, 0);
}

void
sse_clear(sse_t *sse)
{
	if (sse->pending != NULL)
		g_string_free(sse->pending, TRUE);
	sse->pending = NULL;
}

/* Returns the end of the first event in [at, end), or NULL. */
static const char *
event_end(const char *at, const char *end)
{
	for (; at + 1 < end; at++) {
		if (at[0] != '\n')
			continue;
		if (at[1] == '\n')
			return at + 2;
		if (at + 2 < end && at[1] == '\r' && at[2] == '\n')
			return at + 3;
	}
	return NULL;
}

/* Length of a partial event terminator at the end of pending. */
static size_t
partial_end_len(const GString *pending)
{
	if (g_str_has_suffix(pending->str, "\n"))
		return 1;
	return g_str_has_suffix(pending->str, "\n\r") ? 2 : 0;
}

size_t
sse_append(sse_t *sse, const char *data, size_t len)
{
	const char *start;
	const char *end;
	const char *complete_end;

	g_string_append_len(sse->pending, data, (gssize)len);
	start = sse->pending->str;
	end = start + sse->pending->len;
	complete_end = start;
	for (const char *next = start; next != NULL;) {
		complete_end = next;
		next = event_end(complete_end, end);
	}
	if (complete_end == start && sse->pending->len > SSE_EVENT_LIMIT_BYTES)
		return sse->pending->len - partial_end_len(sse->pending);
	return (size_t)(complete_end - start);
}

void
sse_undo(sse_t *sse, size_t len)
{
	g_string_truncate(sse->pending, sse->pending->len - len);
}

void
sse_consume(sse_t *sse, size_t len)
{
	const char *at = sse->pending->str;
	const char *end = at + len;

	while (at < end) {
		const char *next = event_end(at, end);

		if (next == NULL)
			break;
		if (strncmp(at, DONE_EVENT, strlen(DONE_EVENT)) != 0)
			sse->tokens++;
		at = next;
	}
	g_string_erase(sse->pending, 0, (gssize)len);
}

void
sse_drop_partial(sse_t *sse)
{
	if (sse->pending != NULL)
		g_string_truncate(sse->pending, 0);
}

int64_t
answer_tokens(const char *text, size_t len, int64_t prompt_tokens)
{
	json_t *answer = json_loadb(text, len, 0, NULL);
	json_t *usage = json_object_get(answer, "usage");
	json_t *prompt = json_object_get(usage, "prompt_tokens");
	json_t *output = json_object_get(usage, "output_tokens");
	int64_t tokens = -1;

	if (json_is_integer(prompt) && json_integer_value(prompt) >= 0)
		prompt_tokens = json_integer_value(prompt);
	if (json_is_integer(output))
		tokens = prompt_tokens + json_integer_value(output);
	json_decref(answer);
	return tokens;
}
