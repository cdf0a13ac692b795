#ifndef PLATFORM_MIRROR_H
#define PLATFORM_MIRROR_H

#include <stdbool.h>
#include <stdint.h>

#include "http/reader.h"

/*
 * Copy of what a store client has read, served to instances that read from this
 * one in place of the store: the same calls and the same answers. Refuses with
 * 503 while the copy may be old.
 */

/* Changes that a watch can go on from. */
#define MIRROR_LOG_LIMIT 512

typedef struct mirror mirror_t;
typedef struct mirror_watch mirror_watch_t;

/* body is JSON and valid until the callback returns. */
typedef void (*mirror_reply_t)(void *owner, unsigned status, const char *body);

/* Of the keys with this prefix. */
mirror_t *mirror_create(const char *prefix);
void mirror_destroy(mirror_t *mirror);

/* value is the text that the store sent; NULL: the key is gone. */
void mirror_put(
    mirror_t *mirror, const char *key, const char *value, int64_t revision);

/* The copy holds everything up to revision, and watches may be answered. */
void mirror_advance(mirror_t *mirror, int64_t revision);

/* The copy may be old: waiting watches are refused. */
void mirror_suspend(mirror_t *mirror);

/* Answers waiting watches that have waited long enough. Call often. */
void mirror_expire(mirror_t *mirror, int64_t now_ms);

/*
 * Serves a call, at once or later. Returns a watch that waits, or NULL when it
 * was answered; false in *known for a call that isn't this mirror's.
 */
mirror_watch_t *mirror_call(mirror_t *mirror, const http_head_t *head,
    int64_t now_ms, mirror_reply_t reply, void *owner, bool *known);

/* Nobody waits any more; reply isn't called. */
void mirror_cancel(mirror_watch_t *watch);

#endif
