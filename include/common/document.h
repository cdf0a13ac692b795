#ifndef COMMON_DOCUMENT_H
#define COMMON_DOCUMENT_H

#include <glib.h>
#include <jansson.h>
#include <stddef.h>

/*
 * Reads JSON documents of other programs. JSON sets no limits to numbers, but
 * jansson refuses a whole document for one integer beyond 64 bits or one real
 * beyond a double. Here such a number costs only the member that holds it: its
 * value is an object that stands for the number and is of no other type that a
 * reader may expect. Strings may hold NUL bytes, which readers have to look
 * for.
 */

/*
 * Returns NULL with an error (CS_ERROR_SYNTAX) if the text isn't JSON. Free the
 * result with json_decref().
 */
json_t *document_read(const char *text, size_t len, GError **error);

/*
 * Returns the text of a number that jansson can't hold, as it is in the
 * document, or NULL if the value is anything else.
 */
const char *document_large_number(const json_t *value);

#endif
