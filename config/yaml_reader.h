#ifndef CONFIG_YAML_READER_H
#define CONFIG_YAML_READER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/error.h"

/*
 * A YAML document as a tree of nodes that remember their lines, and checked
 * access to its values. Anchors, aliases, tags, control characters in values
 * and further documents are refused while the tree is built.
 *
 * All functions that return bool and take a GError report the first fault as
 * "FILE:LINE: KEY: what is wrong; what to write instead".
 */

typedef enum { NODE_TEXT, NODE_LIST, NODE_MAP } node_kind_t;

typedef struct node node_t;
typedef struct yaml_doc yaml_doc_t;

struct node {
	const yaml_doc_t *doc;
	const node_t *parent; /* NULL for the root */
	node_t *first;	      /* child */
	node_t *last;	      /* child */
	node_t *next;	      /* sibling */
	const char *key;      /* NULL unless the parent is a map */
	const char *text;     /* NODE_TEXT only */
	node_kind_t kind;
	bool plain;	   /* text without quotes */
	uint32_t line;	   /* from 1 */
	uint32_t key_line; /* line of key, else that of the value */
	uint32_t index;	   /* position in the parent, from 0 */
	uint32_t n_children;
};

struct yaml_doc {
	char *file;
	node_t *root; /* a NODE_MAP */
	GStringChunk *texts;
	GPtrArray *nodes;
};

/* Returns NULL with an error. file is only a name for messages. */
yaml_doc_t *yaml_doc_read(
    const char *file, const char *text, size_t len, GError **error);
void yaml_doc_free(yaml_doc_t *doc);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(yaml_doc_t, yaml_doc_free)

/* Sets an error at the node's place. Always returns false. */
bool node_refuse(const node_t *node, GError **error, cs_error_t code,
    const char *format, ...) G_GNUC_PRINTF(4, 5);

/* One permitted key of a map. *member is set to NULL when it is absent. */
typedef struct {
	const char *key;
	bool required;
	const node_t **member;
} map_field_t;

/* Checks that node is a map with these keys only, each at most once. */
bool map_read(const node_t *node, const map_field_t *fields, size_t n_fields,
    GError **error);

/* Returns the member of a map, or NULL. */
const node_t *map_find(const node_t *map, const char *key);

/* Checks that node is a list with at least min items. */
bool node_list(const node_t *node, uint32_t min, GError **error);

/*
 * Typed values. Results are copies that the caller frees with g_free or
 * g_strfreev; on failure they are left unchanged.
 */
bool node_text(const node_t *node, char **value, GError **error);
bool node_name(const node_t *node, char **value, GError **error);
bool node_names(const node_t *node, char ***values, GError **error);
bool node_bool(const node_t *node, bool *value, GError **error);
bool node_integer(const node_t *node, int64_t min, int64_t max, int64_t *value,
    GError **error);

/* A number of a settings file that has a preset. */
typedef struct {
	const char *key;
	size_t offset; /* of a uint32_t in the settings */
	uint32_t preset;
	uint32_t min;
	uint32_t max;
} number_field_t;

/* Reads the numbers into settings; nodes[i] is NULL where fields[i] is left
 * out. */
bool numbers_read(void *settings, const number_field_t *fields,
    const node_t *const *nodes, size_t n_fields, GError **error);

/* Reads a log level as a syslog(3) priority; LOG_INFO when node is NULL. */
bool log_level_read(const node_t *node, int *level, GError **error);

/* choices ends with NULL; *value is the position in it. */
bool node_choice(
    const node_t *node, const char *const *choices, int *value, GError **error);

/* The value never appears in messages, because it may be a secret. */
bool node_hex(
    const node_t *node, uint8_t *bytes, size_t n_bytes, GError **error);

typedef enum { ADDRESS_LISTEN, ADDRESS_CONNECT } address_use_t;

/*
 * address:port with an IP number in its canonical form. 0.0.0.0 and [::] are
 * accepted for ADDRESS_LISTEN only.
 */
bool node_address(
    const node_t *node, address_use_t use, char **value, GError **error);

/*
 * http:// or https:// with an IP number and no path. The value has no trailing
 * slash. address, unless NULL, receives address:port.
 */
bool node_url(const node_t *node, char **value, char **address, GError **error);

/*
 * Refuses a value that is already in seen, a table made by seen_create. The
 * value does not appear in the message.
 */
GHashTable *seen_create(void);
bool seen_add(
    GHashTable *seen, const node_t *node, const char *value, GError **error);

#endif
