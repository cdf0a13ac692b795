#ifndef CONFIG_LIST_HEAD_H
#define CONFIG_LIST_HEAD_H

#include "core/snapshot.h"
#include "yaml_reader.h"

/* Fills the head of a new list, with one reference. */
bool list_head_read(list_head_t *head, const node_t *version, const char *text,
    size_t len, GError **error);

/*
 * Sets an error at member key of entry index of the list under list_key, or at
 * the top-level key when list_key is NULL. The place is looked up in head's
 * text, which has been parsed before. Always returns false.
 */
bool list_head_refuse(const list_head_t *head, const char *file,
    const char *list_key, size_t index, const char *key, GError **error,
    const char *format, ...) G_GNUC_PRINTF(7, 8);

/*
 * Checks that a changed list has a higher version. *changed tells whether the
 * texts differ.
 */
bool list_head_check_rise(const list_head_t *before, const list_head_t *after,
    const char *file, bool *changed, GError **error);

#endif
