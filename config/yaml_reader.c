#include "yaml_reader.h"

#include <string.h>
#include <yaml.h>

#include "config/file.h"

/* The deepest list needs 6 levels (plans, plan, use, entry, regions, name). */
#define DEPTH_LIMIT 8

/* Longest key that a message shows in full, in bytes. */
#define KEY_SHOWN 48

typedef struct {
	yaml_doc_t *doc;
	yaml_parser_t parser;
	node_t *open[DEPTH_LIMIT]; /* lists and maps not yet ended */
	size_t depth;
	const char *key; /* read, but its value is not */
	uint32_t key_line;
	bool done; /* the first document has ended */
} reader_t;

/*
 * Returns a key as messages show it: without bytes that would end the KEY part
 * of the message or act on a terminal, and not at any length.
 */
static char *
key_show(const char *key)
{
	char *shown = g_strndup(key, KEY_SHOWN);

	g_strcanon(shown,
	    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	    "0123456789-_<",
	    '?');
	return shown;
}

static void
path_append(GString *path, const node_t *node)
{
	g_autofree char *key = NULL;

	if (node->parent == NULL)
		return;
	path_append(path, node->parent);
	if (node->key == NULL) {
		g_string_append_printf(path, "[%u]", node->index);
		return;
	}
	key = key_show(node->key);
	g_string_append_printf(path, "%s%s", path->len > 0 ? "." : "", key);
}

static bool refuse_at(const char *file, uint32_t line, const char *key,
    GError **error, cs_error_t code, const char *format, ...)
    G_GNUC_PRINTF(6, 7);

static bool
refuse_at(const char *file, uint32_t line, const char *key, GError **error,
    cs_error_t code, const char *format, ...)
{
	g_autofree char *message = NULL;
	va_list args;

	va_start(args, format);
	message = g_strdup_vprintf(format, args);
	va_end(args);
	g_set_error(
	    error, CS_ERROR, code, "%s:%u: %s: %s", file, line, key, message);
	return false;
}

bool
node_refuse(const node_t *node, GError **error, cs_error_t code,
    const char *format, ...)
{
	g_autoptr(GString) path = g_string_new(NULL);
	g_autofree char *message = NULL;
	va_list args;

	va_start(args, format);
	message = g_strdup_vprintf(format, args);
	va_end(args);
	path_append(path, node);
	if (path->len == 0)
		g_string_append(path, "document");
	return refuse_at(
	    node->doc->file, node->line, path->str, error, code, "%s", message);
}

static uint32_t
line_of(const char *text, size_t offset)
{
	uint32_t line = 1;

	for (size_t i = 0; i < offset; i++)
		line += text[i] == '\n';
	return line;
}

/*
 * Returns the first line that starts with a percent sign, or NULL. That is a
 * directive: no key or list item of a document starts with this sign.
 */
static const char *
directive_find(const char *text, size_t len)
{
	const char *place = memchr(text, '%', len);

	while (place != NULL && place != text && place[-1] != '\n' &&
	       place[-1] != '\r')
		place =
		    memchr(place + 1, '%', len - (size_t)(place + 1 - text));
	return place;
}

/*
 * Checks what libyaml would report without a line, or not at all. Directives
 * are refused here because libyaml takes quadratic time for many %TAG lines:
 * reading 1 MB of them twice took 17.7 s.
 */
static bool
text_check(const char *file, const char *text, size_t len, GError **error)
{
	const char *end = NULL;

	if (len > FILE_LIMIT)
		return refuse_at(file, 0, "file", error, CS_ERROR_INVALID,
		    "has %zu bytes, more than %d; make it shorter", len,
		    FILE_LIMIT);
	end = memchr(text, '\0', len);
	if (end != NULL)
		return refuse_at(file, line_of(text, (size_t)(end - text)),
		    "document", error, CS_ERROR_SYNTAX,
		    "has a NUL byte; write plain UTF-8 text");
	if (!g_utf8_validate_len(text, len, &end))
		return refuse_at(file, line_of(text, (size_t)(end - text)),
		    "document", error, CS_ERROR_SYNTAX,
		    "is not valid UTF-8; save the file as UTF-8");
	end = directive_find(text, len);
	if (end != NULL)
		return refuse_at(file, line_of(text, (size_t)(end - text)),
		    "document", error, CS_ERROR_INVALID,
		    "has a YAML directive; remove this line");
	return true;
}

static bool
reader_refuse(reader_t *reader, const yaml_event_t *event, cs_error_t code,
    const char *message, GError **error)
{
	const char *key = reader->key;
	g_autofree char *shown = NULL;

	for (size_t i = reader->depth; key == NULL && i > 0; i--)
		key = reader->open[i - 1]->key;
	shown = key_show(key ? key : "document");
	return refuse_at(reader->doc->file,
	    (uint32_t)event->start_mark.line + 1, shown, error, code, "%s",
	    message);
}

/* Links a node into the innermost open list or map. */
static node_t *
reader_add(reader_t *reader, node_kind_t kind, const yaml_event_t *event)
{
	node_t *node = g_new0(node_t, 1);
	node_t *parent =
	    reader->depth > 0 ? reader->open[reader->depth - 1] : NULL;

	g_ptr_array_add(reader->doc->nodes, node);
	node->doc = reader->doc;
	node->kind = kind;
	node->line = (uint32_t)event->start_mark.line + 1;
	node->key_line = reader->key ? reader->key_line : node->line;
	node->key = reader->key;
	reader->key = NULL;
	if (parent == NULL) {
		reader->doc->root = node;
		return node;
	}
	node->parent = parent;
	node->index = parent->n_children++;
	if (parent->last != NULL)
		parent->last->next = node;
	else
		parent->first = node;
	parent->last = node;
	return node;
}

/* Returns whether the next node is a key of the innermost map. */
static bool
reader_wants_key(const reader_t *reader)
{
	return reader->depth > 0 && reader->key == NULL &&
	       reader->open[reader->depth - 1]->kind == NODE_MAP;
}

static bool
reader_open(reader_t *reader, node_kind_t kind, const yaml_event_t *event,
    GError **error)
{
	if (reader_wants_key(reader))
		return reader_refuse(reader, event, CS_ERROR_INVALID,
		    "a list or map is used as a key; write a plain word",
		    error);
	if (reader->depth == DEPTH_LIMIT)
		return reader_refuse(reader, event, CS_ERROR_INVALID,
		    "is nested too deeply; see cyclamensail-lists(5)", error);
	reader->open[reader->depth] = reader_add(reader, kind, event);
	reader->depth++;
	return true;
}

static bool
reader_scalar(reader_t *reader, const yaml_event_t *event, GError **error)
{
	const char *value = (const char *)event->data.scalar.value;
	size_t len = event->data.scalar.length;
	const char *text;
	node_t *node;

	for (size_t i = 0; i < len; i++) {
		if ((unsigned char)value[i] < 0x20 || value[i] == 0x7f)
			return reader_refuse(reader, event, CS_ERROR_INVALID,
			    "has a control character or line break; write it "
			    "on one line without escapes",
			    error);
	}
	text = g_string_chunk_insert(reader->doc->texts, value);
	if (reader_wants_key(reader)) {
		reader->key = text;
		reader->key_line = (uint32_t)event->start_mark.line + 1;
		return true;
	}
	node = reader_add(reader, NODE_TEXT, event);
	node->text = text;
	node->plain = event->data.scalar.style == YAML_PLAIN_SCALAR_STYLE;
	return true;
}

/* Refuses anchors and tags; plain lists need neither. */
static bool
reader_check_marks(reader_t *reader, const yaml_event_t *event,
    const yaml_char_t *anchor, const yaml_char_t *tag, GError **error)
{
	if (anchor != NULL)
		return reader_refuse(reader, event, CS_ERROR_INVALID,
		    "has an anchor; remove it and write values out in full",
		    error);
	if (tag != NULL)
		return reader_refuse(reader, event, CS_ERROR_INVALID,
		    "has a YAML tag; remove it", error);
	return true;
}

static bool
reader_take(reader_t *reader, const yaml_event_t *event, GError **error)
{
	switch (event->type) {
	case YAML_DOCUMENT_START_EVENT:
		if (!reader->done)
			return true;
		return reader_refuse(reader, event, CS_ERROR_INVALID,
		    "a second YAML document starts here; use one file for each",
		    error);
	case YAML_DOCUMENT_END_EVENT:
		reader->done = true;
		return true;
	case YAML_ALIAS_EVENT:
		return reader_refuse(reader, event, CS_ERROR_INVALID,
		    "has an alias; write the value out in full", error);
	case YAML_SCALAR_EVENT:
		return reader_check_marks(reader, event,
			   event->data.scalar.anchor, event->data.scalar.tag,
			   error) &&
		       reader_scalar(reader, event, error);
	case YAML_SEQUENCE_START_EVENT:
		return reader_check_marks(reader, event,
			   event->data.sequence_start.anchor,
			   event->data.sequence_start.tag, error) &&
		       reader_open(reader, NODE_LIST, event, error);
	case YAML_MAPPING_START_EVENT:
		return reader_check_marks(reader, event,
			   event->data.mapping_start.anchor,
			   event->data.mapping_start.tag, error) &&
		       reader_open(reader, NODE_MAP, event, error);
	case YAML_SEQUENCE_END_EVENT:
	case YAML_MAPPING_END_EVENT:
		reader->depth--;
		return true;
	case YAML_NO_EVENT:
	case YAML_STREAM_START_EVENT:
	case YAML_STREAM_END_EVENT:
		break;
	}
	return true;
}

static bool
reader_refuse_syntax(reader_t *reader, const char *text, GError **error)
{
	const yaml_parser_t *parser = &reader->parser;
	uint32_t line = (uint32_t)parser->problem_mark.line + 1;

	if (parser->error == YAML_READER_ERROR)
		line = line_of(text, parser->problem_offset);
	return refuse_at(reader->doc->file, line, "document", error,
	    CS_ERROR_SYNTAX, "%s%s%s; correct the YAML syntax here",
	    parser->context ? parser->context : "", parser->context ? ": " : "",
	    parser->problem ? parser->problem : "out of memory");
}

static bool
reader_run(reader_t *reader, const char *text, GError **error)
{
	yaml_event_t event;
	bool ended = false;

	while (!ended) {
		bool taken;

		if (!yaml_parser_parse(&reader->parser, &event))
			return reader_refuse_syntax(reader, text, error);
		taken = reader_take(reader, &event, error);
		ended = event.type == YAML_STREAM_END_EVENT;
		yaml_event_delete(&event);
		if (!taken)
			return false;
	}
	if (reader->doc->root == NULL || reader->doc->root->kind != NODE_MAP)
		return refuse_at(reader->doc->file, 1, "document", error,
		    CS_ERROR_INVALID,
		    "is not a map; write lines of the form KEY: VALUE");
	return true;
}

yaml_doc_t *
yaml_doc_read(const char *file, const char *text, size_t len, GError **error)
{
	reader_t reader = {0};
	bool read;

	if (!text_check(file, text, len, error))
		return NULL;
	reader.doc = g_new0(yaml_doc_t, 1);
	reader.doc->file = g_strdup(file);
	reader.doc->texts = g_string_chunk_new(4096);
	reader.doc->nodes = g_ptr_array_new_with_free_func(g_free);
	if (!yaml_parser_initialize(&reader.parser))
		g_error("yaml_parser_initialize: out of memory");
	yaml_parser_set_encoding(&reader.parser, YAML_UTF8_ENCODING);
	yaml_parser_set_input_string(
	    &reader.parser, (const unsigned char *)text, len);
	read = reader_run(&reader, text, error);
	yaml_parser_delete(&reader.parser);
	if (!read) {
		yaml_doc_free(reader.doc);
		return NULL;
	}
	return reader.doc;
}

void
yaml_doc_free(yaml_doc_t *doc)
{
	if (doc == NULL)
		return;
	g_ptr_array_unref(doc->nodes);
	g_string_chunk_free(doc->texts);
	g_free(doc->file);
	g_free(doc);
}

static bool
key_refuse_unknown(const node_t *child, const map_field_t *fields,
    size_t n_fields, GError **error)
{
	g_autoptr(GString) known = g_string_new(NULL);
	node_t place = *child;

	for (size_t i = 0; i < n_fields; i++)
		g_string_append_printf(
		    known, "%s%s", i > 0 ? ", " : "", fields[i].key);
	place.line = child->key_line;
	return node_refuse(&place, error, CS_ERROR_INVALID,
	    "unknown key; remove it or write one of %s", known->str);
}

bool
map_read(const node_t *node, const map_field_t *fields, size_t n_fields,
    GError **error)
{
	for (size_t i = 0; i < n_fields; i++)
		*fields[i].member = NULL;
	if (node->kind != NODE_MAP)
		return node_refuse(node, error, CS_ERROR_INVALID,
		    "is not a map; write keys such as %s: ...", fields[0].key);
	for (const node_t *child = node->first; child; child = child->next) {
		node_t place = *child;
		size_t i = 0;

		while (i < n_fields && strcmp(fields[i].key, child->key) != 0)
			i++;
		if (i == n_fields)
			return key_refuse_unknown(
			    child, fields, n_fields, error);
		place.line = child->key_line;
		if (*fields[i].member != NULL)
			return node_refuse(&place, error, CS_ERROR_CONFLICT,
			    "is already given in line %u; keep one of them",
			    (*fields[i].member)->key_line);
		*fields[i].member = child;
	}
	for (size_t i = 0; i < n_fields; i++) {
		if (fields[i].required && *fields[i].member == NULL)
			return node_refuse(node, error, CS_ERROR_INVALID,
			    "key %s is missing; add it", fields[i].key);
	}
	return true;
}

const node_t *
map_find(const node_t *map, const char *key)
{
	if (map->kind != NODE_MAP)
		return NULL;
	for (const node_t *child = map->first; child; child = child->next) {
		if (strcmp(child->key, key) == 0)
			return child;
	}
	return NULL;
}

GHashTable *
seen_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

bool
seen_add(
    GHashTable *seen, const node_t *node, const char *value, GError **error)
{
	const node_t *other = g_hash_table_lookup(seen, value);

	if (other != NULL)
		return node_refuse(node, error, CS_ERROR_CONFLICT,
		    "has the same value as line %u; write another one or "
		    "remove one entry",
		    other->line);
	g_hash_table_insert(seen, g_strdup(value), (gpointer)node);
	return true;
}
