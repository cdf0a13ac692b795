#ifndef PLATFORM_WIRE_H
#define PLATFORM_WIRE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/placement.h"
#include "core/places.h"
#include "http/reader.h"
#include "net/tcp.h"

/*
 * Header fields and paths of the platform, decoded into what they hold. The
 * names occur in this folder only.
 */

#define REQUEST_ID_LIMIT 127
#define RESUME_ID_LIMIT 63

/* Header fields of messages between instances begin with this, in lower case;
 * they are neither taken from callers nor passed to targets. */
#define PEER_FIELD_PREFIX "cyclamensail-"

/* What a request says beside its method and path. Slices are of the head. */
typedef struct {
	char id[REQUEST_ID_LIMIT + 1]; /* "" when it has none */
	http_slice_t host;
	bool has_key;
	http_slice_t key;
	int64_t time_left_ms; /* -1: not told */
	bool has_tokens;
	prompt_t prompt;
	uint32_t answer_hint; /* tokens of the answer, a guess; 0: none */
	char resume_after[RESUME_ID_LIMIT + 1]; /* "": from the beginning */
} caller_request_t;

/* Returns false with an error for a field that can't be read. */
bool platform_request_read(
    const http_head_t *head, caller_request_t *request, GError **error);

/*
 * Appends the request line and the fields that go on to a target: no field of
 * one connection only, none that this system sets, and no key when keys are in
 * use.
 */
void platform_request_forward(
    GString *out, const http_head_t *head, bool keyed);

/* What this system adds to a request. */
typedef struct {
	int64_t time_left_ms;
	const char *target;	  /* id; NULL for an instance */
	const char *team;	  /* NULL without one */
	int priority;		  /* of the scheduler, 0 first; -1: none */
	const char *resume_after; /* "" from the beginning */
	bool has_body;
	uint64_t body_len;
} send_fields_t;

void platform_request_complete(GString *out, const send_fields_t *fields);

typedef struct {
	unsigned status;
	bool id_differs; /* it answers another request */
	bool stamped;	 /* by a target */
	bool not_run;	 /* the request hasn't run */
	bool load_told;
	uint32_t running;
	uint32_t waiting;
	int64_t idle_ms; /* the target keeps the connection; -1: not told */
	bool event_stream;
	int64_t retry_after_ms; /* -1: not told */
} target_answer_t;

void platform_answer_read(
    const http_head_t *head, const char *request_id, target_answer_t *answer);

/* Appends the status line and the fields that go on to the caller. */
void platform_answer_forward(GString *out, const http_head_t *head);

/* Appends the field that names the request in an answer of this system. */
void platform_answer_id(GString *out, const char *request_id);

/* Appends the field that says that a request hasn't run. */
void platform_answer_not_run(GString *out);

typedef struct {
	int region; /* of the caller; PLACE_NONE when unknown */
} directory_query_t;

/* Return false for another path. */
bool platform_directory_read(
    const http_head_t *head, const places_t *places, directory_query_t *query);
bool platform_is_ready_check(const http_head_t *head);

/* Returns the body of the directory's answer. */
GString *platform_directory_write(
    const net_address_t *addresses, size_t n, int64_t life_s);

#endif
