#include "list_head.h"

#include <string.h>

bool
list_head_read(list_head_t *head, const node_t *version, const char *text,
    size_t len, GError **error)
{
	int64_t number;

	head->refs = 1;
	if (!node_integer(version, 1, G_MAXINT64, &number, error))
		return false;
	head->version = (uint64_t)number;
	list_head_set_text(head, text, len);
	return true;
}

static const node_t *
place_find(
    const node_t *root, const char *list_key, size_t index, const char *key)
{
	const node_t *node = list_key ? map_find(root, list_key) : root;

	if (list_key != NULL && node != NULL) {
		node = node->first;
		while (node != NULL && node->index < index)
			node = node->next;
	}
	return node ? map_find(node, key) : NULL;
}

bool
list_head_refuse(const list_head_t *head, const char *file,
    const char *list_key, size_t index, const char *key, GError **error,
    const char *format, ...)
{
	g_autoptr(yaml_doc_t) doc =
	    yaml_doc_read(file, head->text, head->text_len, NULL);
	const node_t *place =
	    doc ? place_find(doc->root, list_key, index, key) : NULL;
	g_autofree char *message = NULL;
	va_list args;

	va_start(args, format);
	message = g_strdup_vprintf(format, args);
	va_end(args);
	if (place != NULL)
		return node_refuse(
		    place, error, CS_ERROR_CONFLICT, "%s", message);
	/* A list that was built without a text has no lines to name. */
	g_set_error(error, CS_ERROR, CS_ERROR_CONFLICT, "%s:0: %s: %s", file,
	    key, message);
	return false;
}

bool
list_head_check_rise(const list_head_t *before, const list_head_t *after,
    const char *file, bool *changed, GError **error)
{
	*changed = before->version != after->version ||
		   memcmp(before->digest, after->digest, DIGEST_BYTES) != 0;
	if (!*changed || after->version > before->version)
		return true;
	return list_head_refuse(after, file, NULL, 0, "version", error,
	    "%" G_GUINT64_FORMAT " does not rise, the list was changed from "
	    "version %" G_GUINT64_FORMAT
	    "; write a number above %" G_GUINT64_FORMAT,
	    after->version, before->version, before->version);
}
