#include "http/reader.h"

#include <ctype.h>
#include <glib.h>
#include <http_parser.h>
#include <string.h>
#include <strings.h>

/* Statuses outside of this range are no answers (RFC 9110, 15). */
#define STATUS_MIN 100
#define STATUS_MAX 599
#define STATUS_DIGITS 3

/* Statuses with rules of their own on what follows the head. */
#define STATUS_SWITCHING_PROTOCOLS 101
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304

struct http_reader {
	http_role_t role;
	const http_sink_t *sink;
	void *owner;
	size_t head_limit;
	http_parser parser;
	GByteArray *head;
	size_t searched_bytes; /* prefix of head that can't hold its end */
	bool in_body;
	bool no_body;
	bool complete;
	bool stopped;
	http_slice_t target;
	http_field_t fields[HTTP_FIELD_LIMIT];
	size_t n_fields;
	bool too_many_fields;
};

static int
on_url(http_parser *parser, const char *at, size_t len)
{
	http_reader_t *reader = parser->data;

	reader->target = (http_slice_t){at, len};
	return 0;
}

static int
on_name(http_parser *parser, const char *at, size_t len)
{
	http_reader_t *reader = parser->data;

	if (reader->n_fields == HTTP_FIELD_LIMIT) {
		reader->too_many_fields = true;
		return 1;
	}
	reader->fields[reader->n_fields++] =
	    (http_field_t){{at, len}, {at + len, 0}};
	return 0;
}

static int
on_value(http_parser *parser, const char *at, size_t len)
{
	http_reader_t *reader = parser->data;

	reader->fields[reader->n_fields - 1].value = (http_slice_t){at, len};
	return 0;
}

static bool
framing_is_unambiguous(const http_reader_t *reader)
{
	size_t n_lengths = 0;

	for (size_t i = 0; i < reader->n_fields; i++) {
		const http_field_t *field = &reader->fields[i];

		if (http_slice_is(field->name, "content-length"))
			n_lengths++;
		if (http_slice_is(field->name, "transfer-encoding") &&
		    !http_slice_is(field->value, "chunked"))
			return false;
	}
	return n_lengths <= 1;
}

static http_slice_t
head_method(const http_reader_t *reader)
{
	const char *text = (const char *)reader->head->data;
	const char *space = memchr(text, ' ', reader->head->len);

	return (http_slice_t){text, space ? (size_t)(space - text) : 0};
}

/* http_parser accepts any number of digits and any number below 1,000. */
static bool
status_is_valid(const http_reader_t *reader)
{
	const char *text = (const char *)reader->head->data;
	const char *space = memchr(text, ' ', reader->head->len);
	const char *line_end = memchr(text, '\r', reader->head->len);
	size_t n_digits = 0;

	if (space == NULL || line_end == NULL || space > line_end)
		return false;
	while (isdigit((unsigned char)space[1 + n_digits]))
		n_digits++;
	return n_digits == STATUS_DIGITS &&
	       reader->parser.status_code >= STATUS_MIN &&
	       reader->parser.status_code <= STATUS_MAX;
}

static bool
is_interim(const http_reader_t *reader)
{
	return reader->role == HTTP_RESPONSES &&
	       reader->parser.status_code / 100 == 1;
}

/*
 * Returns whether the message ends with its head, whatever its fields announce
 * (RFC 9112, 6.3). http_parser reads a body if they announce one.
 */
static bool
ends_with_head(const http_reader_t *reader)
{
	if (reader->role != HTTP_RESPONSES)
		return false;
	return reader->no_body || is_interim(reader) ||
	       reader->parser.status_code == STATUS_NO_CONTENT ||
	       reader->parser.status_code == STATUS_NOT_MODIFIED;
}

static int
on_head(http_parser *parser)
{
	http_reader_t *reader = parser->data;
	http_head_t head = {
	    .target = reader->target,
	    .status = parser->status_code,
	    .keep_alive = http_should_keep_alive(parser) != 0,
	    .chunked = (parser->flags & F_CHUNKED) != 0,
	    .content_length = parser->flags & F_CONTENTLENGTH
				  ? parser->content_length
				  : HTTP_LENGTH_UNKNOWN,
	    .raw = {(const char *)reader->head->data, reader->head->len},
	    .fields = reader->fields,
	    .n_fields = reader->n_fields,
	};

	if (!framing_is_unambiguous(reader))
		return -1;
	if (reader->role == HTTP_RESPONSES && !status_is_valid(reader))
		return -1;
	/* No request asks for another protocol. */
	if (reader->role == HTTP_RESPONSES &&
	    parser->status_code == STATUS_SWITCHING_PROTOCOLS)
		return -1;
	if (reader->role == HTTP_REQUESTS)
		head.method = head_method(reader);
	if (!is_interim(reader) && !reader->sink->head(reader->owner, &head)) {
		reader->stopped = true;
		return -1;
	}
	reader->in_body = true;
	return ends_with_head(reader) ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
	http_reader_t *reader = parser->data;

	reader->sink->body(reader->owner, (const uint8_t *)at, len);
	return 0;
}

static int
on_complete(http_parser *parser)
{
	http_reader_t *reader = parser->data;

	reader->complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings callbacks = {
    .on_url = on_url,
    .on_header_field = on_name,
    .on_header_value = on_value,
    .on_headers_complete = on_head,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

static void
reader_reset(http_reader_t *reader)
{
	http_parser_init(&reader->parser,
	    reader->role == HTTP_REQUESTS ? HTTP_REQUEST : HTTP_RESPONSE);
	reader->parser.data = reader;
	g_byte_array_set_size(reader->head, 0);
	reader->searched_bytes = 0;
	reader->in_body = false;
	reader->complete = false;
	reader->target = (http_slice_t){"", 0};
	reader->n_fields = 0;
}

http_reader_t *
http_reader_create(
    http_role_t role, const http_sink_t *sink, void *owner, size_t head_limit)
{
	http_reader_t *reader = g_new0(http_reader_t, 1);

	reader->role = role;
	reader->sink = sink;
	reader->owner = owner;
	reader->head_limit = head_limit;
	reader->head = g_byte_array_new();
	reader_reset(reader);
	return reader;
}

void
http_reader_destroy(http_reader_t *reader)
{
	g_byte_array_unref(reader->head);
	g_free(reader);
}

void
http_reader_set_head_limit(http_reader_t *reader, size_t head_limit)
{
	reader->head_limit = head_limit;
}

void
http_reader_expect_no_body(http_reader_t *reader)
{
	reader->no_body = true;
}

/*
 * Returns whether a line has no whitespace before its colon. http_parser checks
 * the rest.
 */
static bool
field_name_is_valid(const char *line, const char *end)
{
	if (*line == ' ' || *line == '\t')
		return false;
	for (; line < end && *line != ':' && *line != '\r'; line++) {
		if (*line == ' ' || *line == '\t')
			return false;
	}
	return true;
}

/*
 * Rejects heads that other parsers may split differently into lines and fields:
 * with NUL bytes, a bare LF, folded lines or whitespace in a field name.
 */
static bool
head_is_strict(const char *text, size_t len)
{
	const char *at = text;
	const char *end = text + len;

	if (memchr(text, '\0', len) != NULL)
		return false;
	while ((at = memchr(at, '\n', (size_t)(end - at))) != NULL) {
		if (at == text || at[-1] != '\r')
			return false;
		at++;
		if (at < end && !field_name_is_valid(at, end))
			return false;
	}
	return true;
}

/* Appends data to the head up to its end. Returns true when complete. */
static bool
head_collect(
    http_reader_t *reader, const uint8_t *data, size_t len, size_t *consumed)
{
	size_t before = reader->head->len;
	const uint8_t *end;
	size_t skip = 0;

	/* Empty lines before a message are skipped (RFC 9112, 2.2). */
	while (before == 0 && skip < len &&
	       (data[skip] == '\r' || data[skip] == '\n'))
		skip++;
	g_byte_array_append(reader->head, data + skip, (guint)(len - skip));
	end = memmem(reader->head->data + reader->searched_bytes,
	    reader->head->len - reader->searched_bytes, "\r\n\r\n", 4);
	*consumed = len;
	if (end == NULL) {
		reader->searched_bytes =
		    reader->head->len > 3 ? reader->head->len - 3 : 0;
		return false;
	}
	g_byte_array_set_size(
	    reader->head, (guint)(end + 4 - reader->head->data));
	*consumed = skip + reader->head->len - before;
	return true;
}

/* Returns the result of a step and resets the reader after a message. */
static http_feed_t
feed_result(http_reader_t *reader)
{
	bool interim = is_interim(reader);

	if (reader->stopped)
		return HTTP_FEED_STOPPED;
	if (reader->too_many_fields)
		return HTTP_FEED_TOO_LARGE;
	if (reader->complete) {
		if (!interim)
			reader->no_body = false;
		reader_reset(reader);
		return interim ? HTTP_FEED_MORE : HTTP_FEED_COMPLETE;
	}
	if (HTTP_PARSER_ERRNO(&reader->parser) != HPE_OK)
		return HTTP_FEED_MALFORMED;
	return HTTP_FEED_MORE;
}

static http_feed_t
head_feed(
    http_reader_t *reader, const uint8_t *data, size_t len, size_t *consumed)
{
	const char *text;
	bool complete = head_collect(reader, data, len, consumed);

	if (reader->head->len > reader->head_limit)
		return HTTP_FEED_TOO_LARGE;
	if (!complete)
		return HTTP_FEED_MORE;
	text = (const char *)reader->head->data;
	if (!head_is_strict(text, reader->head->len))
		return HTTP_FEED_MALFORMED;
	http_parser_execute(
	    &reader->parser, &callbacks, text, reader->head->len);
	return feed_result(reader);
}

http_feed_t
http_reader_feed(
    http_reader_t *reader, const uint8_t *data, size_t len, size_t *consumed)
{
	size_t total = 0;

	*consumed = 0;
	while (total < len) {
		http_feed_t result;
		size_t step;

		if (!reader->in_body) {
			result =
			    head_feed(reader, data + total, len - total, &step);
		} else {
			step = http_parser_execute(&reader->parser, &callbacks,
			    (const char *)data + total, len - total);
			result = feed_result(reader);
		}
		total += step;
		*consumed = total;
		if (result != HTTP_FEED_MORE)
			return result;
	}
	return HTTP_FEED_MORE;
}

bool
http_reader_finish(http_reader_t *reader)
{
	if (!reader->in_body)
		return false;
	http_parser_execute(&reader->parser, &callbacks, NULL, 0);
	return feed_result(reader) == HTTP_FEED_COMPLETE;
}

bool
http_reader_is_mid_message(const http_reader_t *reader)
{
	return reader->head->len > 0;
}

bool
http_slice_is(http_slice_t slice, const char *name)
{
	return strlen(name) == slice.len &&
	       strncasecmp(slice.text, name, slice.len) == 0;
}

const http_field_t *
http_head_find(const http_head_t *head, const char *name)
{
	for (size_t i = 0; i < head->n_fields; i++) {
		if (http_slice_is(head->fields[i].name, name))
			return &head->fields[i];
	}
	return NULL;
}

bool
http_slice_list_has(http_slice_t slice, const char *token)
{
	const char *at = slice.text;
	const char *end = slice.text + slice.len;

	while (at < end) {
		const char *comma = memchr(at, ',', (size_t)(end - at));
		const char *stop = comma ? comma : end;
		const char *last = stop;

		while (at < last && isspace((unsigned char)*at))
			at++;
		while (last > at && isspace((unsigned char)last[-1]))
			last--;
		if (http_slice_is(
			(http_slice_t){at, (size_t)(last - at)}, token))
			return true;
		at = stop + 1;
	}
	return false;
}

bool
http_slice_number(http_slice_t slice, uint64_t *value)
{
	uint64_t sum = 0;

	if (slice.len == 0 || slice.len > 18)
		return false;
	for (size_t i = 0; i < slice.len; i++) {
		if (!isdigit((unsigned char)slice.text[i]))
			return false;
		sum = sum * 10 + (uint64_t)(slice.text[i] - '0');
	}
	*value = sum;
	return true;
}
