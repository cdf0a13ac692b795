#include <stdlib.h>
#include <string.h>

#include "sse.h"

/*
 * libFuzzer target for the splitting of event streams. The first byte sets the
 * chunk length. Guards against events and token counts that depend on where the
 * target's chunks end. Inputs are shorter than the longest event that is
 * buffered.
 */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

static GString *
stream_split(const char *data, size_t len, size_t chunk, int64_t *tokens)
{
	GString *out = g_string_new(NULL);
	sse_t sse = {0};

	sse_reset(&sse, true);
	while (len > 0) {
		size_t n = MIN(chunk, len);
		size_t complete_len;

		/* Bytes that are undone and appended again change nothing. */
		sse_append(&sse, data, n);
		sse_undo(&sse, n);
		complete_len = sse_append(&sse, data, n);
		g_string_append_len(
		    out, sse.pending->str, (gssize)complete_len);
		sse_consume(&sse, complete_len);
		data += n;
		len -= n;
	}
	*tokens = sse.tokens;
	sse_clear(&sse);
	return out;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	const char *stream = (const char *)data + 1;
	int64_t tokens[2];
	GString *unsplit;
	GString *split;

	if (len < 2)
		return 0;
	unsplit = stream_split(stream, len - 1, len, &tokens[0]);
	split =
	    stream_split(stream, len - 1, (size_t)data[0] % 16 + 1, &tokens[1]);
	if (!g_string_equal(unsplit, split) || tokens[0] != tokens[1] ||
	    unsplit->len > len - 1 ||
	    memcmp(unsplit->str, stream, unsplit->len) != 0)
		abort();
	g_string_free(unsplit, TRUE);
	g_string_free(split, TRUE);
	answer_tokens(stream, len - 1, 1);
	return 0;
}
