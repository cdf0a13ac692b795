#ifndef CORE_REFUSAL_H
#define CORE_REFUSAL_H

/*
 * Reasons for which a request is refused or aborted, and the error that callers
 * get. Each reason has a stable code that is also its metrics label.
 */
typedef enum {
	REFUSAL_NONE = 0,
	REFUSAL_BAD_REQUEST,
	REFUSAL_KEY_IN_QUERY,
	REFUSAL_KEY_MISSING,
	REFUSAL_KEY_UNKNOWN,
	REFUSAL_KEY_WITHDRAWN, /* while the answer was being sent */
	REFUSAL_NOT_FOUND,
	REFUSAL_METHOD,
	REFUSAL_BODY_TOO_LARGE,
	REFUSAL_SERVICE_UNKNOWN,
	REFUSAL_SERVICE_NOT_ALLOWED,
	REFUSAL_WRONG_REGION,
	REFUSAL_HOP_LIMIT,
	REFUSAL_PEER_UNAUTHENTIC,
	REFUSAL_TICKET_REQUIRED,
	REFUSAL_TICKET_INVALID,
	REFUSAL_TICKET_UNKNOWN, /* expired, issued by another process, or its
				   order may have run */
	REFUSAL_ORDER_RUNNING,
	REFUSAL_ORDER_TABLE_FULL,
	REFUSAL_POISON,
	REFUSAL_COST_ABOVE_BURST,
	REFUSAL_RATE_EXCEEDED,
	REFUSAL_NO_SHARE, /* the instance holds no share of the team's rate */
	REFUSAL_NO_TARGET,
	REFUSAL_QUEUE_FULL,
	REFUSAL_DEADLINE,
	REFUSAL_MEMORY,
	REFUSAL_STARTING,
	REFUSAL_DRAINING,
	REFUSAL_PEER_UNREACHABLE,
	REFUSAL_TARGET_LOST,
	REFUSAL_TARGET_TIMEOUT,
	REFUSAL_CALLER_GONE, /* the caller closed its connection */
	REFUSAL_COUNT
} refusal_t;

/* What is known about the execution of a refused or failed request. */
typedef enum {
	EXECUTION_NOT_RUN,
	EXECUTION_COMPLETED,
	EXECUTION_UNKNOWN
} execution_t;

typedef struct {
	const char *code;
	int status; /* HTTP status */
	execution_t execution;
	const char *message;
	const char *remedy;
} refusal_info_t;

/* Returns the static description of a reason. Never NULL. */
const refusal_info_t *refusal_info(refusal_t reason);

/* Returns "not_run", "completed" or "unknown". */
const char *execution_name(execution_t execution);

#endif
