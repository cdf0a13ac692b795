#include <jansson.h>
#include <string.h>
#include <xxhash.h>

#include "common/error.h"
#include "internal.h"

/* Tokens reserved for the answer when the request sets no max_tokens. */
#define DEFAULT_MAX_TOKENS 256

/* Leading prompt bytes hashed to find a target that has cached the prefix. */
#define PREFIX_BYTES ((size_t)256)

/* Typical number of bytes per token in prompts in European languages. */
#define BYTES_PER_TOKEN 4

/* Counts the bytes of all strings and member names. jansson bounds the depth.
 */
static size_t
string_bytes(json_t *value)
{
	size_t bytes = 0;
	const char *key;
	json_t *member;
	size_t i;

	switch (json_typeof(value)) {
	case JSON_STRING:
		return json_string_length(value);
	case JSON_ARRAY:
		json_array_foreach(value, i, member) bytes +=
		    string_bytes(member);
		return bytes;
	case JSON_OBJECT:
		json_object_foreach(value, key, member) bytes +=
		    strlen(key) + string_bytes(member);
		return bytes;
	default:
		return 0;
	}
}

/* Estimates the prompt tokens; top-level member names are not counted. */
static int64_t
prompt_estimate(json_t *object)
{
	size_t bytes = 0;
	const char *key;
	json_t *member;

	json_object_foreach(object, key, member) bytes += string_bytes(member);
	return (int64_t)(bytes / BYTES_PER_TOKEN) + 1;
}

static bool
object_read(json_t *object, body_info_t *info, GError **error)
{
	json_t *limit = json_object_get(object, "max_tokens");
	json_t *prompt = json_object_get(object, "prompt");
	const char *text = json_string_value(prompt);
	json_int_t max_tokens = DEFAULT_MAX_TOKENS;

	if (!json_is_object(object)) {
		g_set_error(error, CS_ERROR, CS_ERROR_INVALID,
		    "the body is not a JSON object; send {\"prompt\": ...}");
		return false;
	}
	if (limit != NULL) {
		max_tokens = json_integer_value(limit);
		if (!json_is_integer(limit) || max_tokens < 1 ||
		    max_tokens > 1000000) {
			g_set_error(error, CS_ERROR, CS_ERROR_INVALID,
			    "max_tokens must be an integer from 1 to "
			    "1000000");
			return false;
		}
	} else {
		json_object_set_new(
		    object, "max_tokens", json_integer(max_tokens));
		info->adjusted_body = json_dumps(object, JSON_COMPACT);
	}
	info->prompt_tokens = prompt_estimate(object);
	info->cost = info->prompt_tokens + max_tokens;
	info->stream = json_is_true(json_object_get(object, "stream"));
	if (text != NULL)
		info->prefix_hash =
		    XXH3_64bits(text, MIN(strlen(text), PREFIX_BYTES));
	return true;
}

bool
body_read(const char *body, size_t len, bool engine, body_info_t *info,
    GError **error)
{
	json_error_t json_error;
	json_t *object;
	bool ok;

	memset(info, 0, sizeof(*info));
	info->cost = 1;
	info->prefix_hash = XXH3_64bits(body, MIN(len, PREFIX_BYTES));
	if (!engine)
		return true;
	object = json_loadb(body, len, JSON_REJECT_DUPLICATES, &json_error);
	if (object == NULL) {
		g_set_error(error, CS_ERROR, CS_ERROR_SYNTAX,
		    "the body is not valid JSON: line %d: %s", json_error.line,
		    json_error.text);
		return false;
	}
	ok = object_read(object, info, error);
	json_decref(object);
	return ok;
}

char *
body_resume(const char *body, size_t len, int64_t from)
{
	json_t *object = json_loadb(body, len, 0, NULL);
	char *text;

	json_object_set_new(object, "resume_from", json_integer(from));
	text = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	return text;
}
