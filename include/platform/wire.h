#ifndef PLATFORM_WIRE_H
#define PLATFORM_WIRE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/placement.h"
#include "core/topology.h"
#include "http/reader.h"
#include "net/tcp.h"

/*
 * Decodes and encodes the header fields and paths of the platform. Their names
 * occur in this folder only.
 */

#define REQUEST_ID_LIMIT 127
#define RESUME_ID_LIMIT 63

/*
 * Prefix, in lower case, of the header fields of messages between instances.
 * platform_request_forward() and platform_response_forward() omit such fields.
 */
#define PEER_FIELD_PREFIX "cyclamensail-"

/* Decoded header fields of a request. Slices point into the head. */
typedef struct {
	char id[REQUEST_ID_LIMIT + 1]; /* "" when absent */
	http_slice_t host;	       /* "" when absent */
	bool has_key;
	http_slice_t key;
	int64_t time_left_ms; /* from Request-Deadline; -1: absent */
	bool has_token_count;
	prompt_t prompt;
	uint32_t output_hint; /* estimated output tokens; 0: none */
	char resume_after[RESUME_ID_LIMIT + 1]; /* "": from the start */
	/* Attempt of the caller that brought the stream's first event. */
	char resumes[REQUEST_ID_LIMIT + 1]; /* "": not named */
} caller_request_t;

/* Returns false with an error when a field is malformed. */
bool platform_request_read(
    const http_head_t *head, caller_request_t *request, GError **error);

/*
 * Appends the request line and the end-to-end fields that are forwarded to a
 * target. Omits hop-by-hop fields, fields that the gateway sets, and the API
 * key when keys are in use.
 */
void platform_request_forward(
    GString *out, const http_head_t *head, bool keyed);

/* Fields that the gateway adds to a forwarded request. */
typedef struct {
	int64_t time_left_ms;
	const char *target; /* id; NULL when sent to an instance */
	const char *team;   /* NULL: no team */
	int priority;	    /* for the scheduler, 0 is the highest; -1: none */
	const char *resume_after; /* "": from the start */
	bool has_body;
	uint64_t body_len;
} gateway_fields_t;

void platform_request_append_fields(
    GString *out, const gateway_fields_t *fields);

/* A rate that a target may state in an answer. */
typedef struct {
	enum { RATE_ABSENT, RATE_STATED, RATE_MALFORMED } kind;
	double per_s; /* RATE_STATED */
} response_rate_t;

typedef struct {
	unsigned status;
	bool request_id_mismatch; /* the response is for another request */
	bool request_id_missing;
	bool stamped;  /* has a Server-Stamp field, which targets set */
	bool not_run;  /* the request was not executed */
	bool replaced; /* the address belongs to another target now */
	bool leaving;  /* the target says that it leaves */
	bool load_reported;
	uint32_t running;
	uint32_t waiting;
	enum {
		RESPONSE_NO_PACE,
		RESPONSE_PACE, /* the target stated its momentary pace */
		RESPONSE_PACE_MALFORMED,
	} pace_kind;
	double pace;	 /* RESPONSE_PACE: factor on the usual time */
	int64_t idle_ms; /* keep-alive timeout of the target; -1: absent */
	bool event_stream;
	int64_t retry_after_ms; /* -1: absent */
	response_rate_t rates[TARGET_RATE_COUNT];
} target_response_t;

/* What a target's health answer states. */
typedef struct {
	unsigned status;
	char target[NAME_LIMIT + 1]; /* id; "" when absent */
	int64_t cold_ms;	     /* -1: absent or malformed */
	bool refused; /* for want of room; says nothing of its health */
	bool leaving; /* it says that it leaves */
} target_health_t;

void platform_health_read(const http_head_t *head, target_health_t *health);

/* Returns the request for the health of a target of this address. */
GString *platform_health_request(const char *path, net_address_t address);

void platform_response_read(
    const http_head_t *head, const char *request_id, target_response_t *answer);

/* Appends the status line and the fields forwarded to the caller. */
void platform_response_forward(GString *out, const http_head_t *head);

/* Appends the request id to a response that the gateway generates. */
void platform_response_append_id(GString *out, const char *request_id);

/* Appends the field that marks a request as not executed. */
void platform_response_append_not_executed(GString *out);

/*
 * The field by which the store names its era, which rises when it comes back
 * from an older copy. 0: unknown, and not appended.
 */
int64_t platform_store_read_era(const http_head_t *head);
void platform_store_append_era(GString *out, int64_t era);

typedef struct {
	int region; /* of the caller; TOPOLOGY_NONE when unknown */
} directory_query_t;

/* Return false when the path is a different one. */
bool platform_directory_read(const http_head_t *head,
    const topology_t *topology, directory_query_t *query);
bool platform_is_readiness_check(const http_head_t *head);

/* Returns the response body of the directory. */
GString *platform_directory_write(
    const net_address_t *addresses, size_t n, int64_t ttl_s);

#endif
