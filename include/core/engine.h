#ifndef CORE_ENGINE_H
#define CORE_ENGINE_H

#include "core/membership.h"

/*
 * Commands to engines: compares the state that the allowances list desires with
 * the state that each engine reports, and decides which engine loads or changes
 * its role next. Named commands because an order is a call that may not be
 * repeated; a command states the wanted result and may be.
 *
 * Owners. The targets of a zone are divided into lanes, and a lane has one
 * owner at a time: the rendezvous winner of the lane's key among the zone's
 * live members, see membership_owns(). An owner has one command running for
 * each lane, so the number of lanes limits the commands that run at a time:
 *
 *   - The weight store's loads_at_a_time are divided among the zones that have
 *     a desired state, each the floor, the remainder to the highest-ranked
 * zones by hash. This follows from the allowances list alone. A zone has as
 * many lanes as permits, over all its services. The parser refuses a limit
 * lower than the number of these zones, so each can always load.
 *   - A service uses at most half as many lanes as it has targets in the zone,
 *     and at least one, so the other half stays up.
 *
 * A list with another division takes effect when all listed instances have
 * acknowledged it; until then no command starts.
 *
 * Time. A command is decided only while the lease lasts longer than
 * COMMAND_LIMIT_US, is not sent later than COMMAND_START_US after the decision
 * and runs for at most COMMAND_RUN_US at the engine, so it ends within
 * COMMAND_LIMIT_US and within the lease. An owner that acknowledges a newer
 * fleet list gives up its right before that, so the next owner waits
 * COMMAND_LIMIT_US from when it got the lane before its first command. Only a
 * role change at an engine that refuses old fences needs no such wait.
 *
 * Fences. The first number of an owner is (version sum) << 29 | (start of the
 * process in seconds, modulo 2^29), or 1 more than the highest number that the
 * engine reports if that is larger; each further one is at least 1 more than
 * the last. The version sum is the agreed fleet version plus the allowances
 * version when the right began, which all listed instances have to have
 * acknowledged by then. So neither part is lower than that of an earlier owner,
 * and an owner follows another only under a newer agreed fleet version or,
 * after a change of the division, a newer allowances version. The sum is larger
 * even if no command of the last owner has reached the engine yet. When the
 * engine reports a larger sum, the lists were restarted with lower numbers;
 * then both owners add theirs to the reported one, which keeps the order. A new
 * process of the same name at the same versions has a later start, and its
 * predecessor can send nothing any more. Numbers fit in 63 bits: nothing is
 * owned with a sum of FENCE_VERSION_LIMIT or more, and a state with a fence
 * above FENCE_LIMIT is not accepted. They are exact in JSON readers that use
 * doubles up to a sum of 2^24.
 *
 * A process that pauses between the last look at the clock and the write sends
 * a command late. An engine that refuses old fences drops it if the next owner
 * has sent one. Engines that ignore fences give no way to prevent it; the next
 * owner sees the result when it polls, and corrects it.
 */

#define COMMAND_LIMIT_US (20 * US_PER_S)
/* A command that is not being sent by then is dropped: the process slept. */
#define COMMAND_START_US (2 * US_PER_S)
/* Told to the engine, which gives up a command that takes longer. 2 s remain
 * for the way to the engine. */
#define COMMAND_RUN_US (COMMAND_LIMIT_US - COMMAND_START_US - 2 * US_PER_S)
#define ENGINE_POLL_US (5 * US_PER_S)
/* After failure n the next command waits 5 s x 2^(n - 1), at most 160 s. */
#define COMMAND_BACKOFF_US (5 * US_PER_S)
#define COMMAND_BACKOFF_DOUBLINGS 5
#define FENCE_VERSION_SHIFT 29
#define FENCE_VERSION_LIMIT ((uint64_t)1 << 33)
#define FENCE_LIMIT ((uint64_t)1 << 62)

typedef struct {
	char model[NAME_LIMIT + 1];
	char version[NAME_LIMIT + 1];
	char role[NAME_LIMIT + 1];
	char adapters[DESIRED_ADAPTER_LIMIT][NAME_LIMIT + 1];
	size_t n_adapters;
} engine_config_t;

typedef struct {
	engine_config_t config;
	uint64_t fence; /* highest that the engine has seen */
	bool busy;	/* it runs a command */
} engine_state_t;

typedef enum { COMMAND_LOAD, COMMAND_ROLE } command_kind_t;

typedef enum {
	COMMAND_DONE,
	COMMAND_FENCED, /* refused for its fence */
	COMMAND_FAILED, /* answered, and over */
	COMMAND_UNSENT, /* no byte was written */
	COMMAND_UNKNOWN /* it may run or still arrive */
} command_result_t;

typedef struct {
	bool poll; /* ask for the state; only target, url, decided_at are set */
	char target[NAME_LIMIT + 1];
	char url[512];
	command_kind_t kind;
	engine_config_t config;
	uint64_t fence;
	time_us_t decided_at;
	time_us_t start_by;
} engine_step_t;

/* Own requests at a target. */
typedef uint32_t (*engine_in_flight_t)(void *context, const char *target);

/* Rules that a test can switch off, to show that its checks notice. */
typedef struct {
	bool any_owner;	     /* each instance with a lease acts */
	bool no_wait;	     /* a new owner doesn't wait */
	bool constant_fence; /* every command has fence 1 */
	bool no_permits;     /* ignores the store's limit */
	bool no_half;	     /* loads on all targets of a service */
	bool no_repeat;	     /* gives up after a failure */
} engine_faults_t;

typedef struct engines engines_t;

/* start_s: wall clock at the start of the process. The membership is kept. */
engines_t *engines_create(
    membership_t *membership, const char *zone, int64_t start_s);
void engines_destroy(engines_t *engines);
void engines_set_in_flight(
    engines_t *engines, engine_in_flight_t in_flight, void *context);
void engines_set_faults(engines_t *engines, engine_faults_t faults);

/*
 * Takes the lists in force and notes which rights were lost. Called after each
 * adoption, because a right that is lost and got back between two calls would
 * not be noticed. Lists may be NULL.
 */
void engines_follow(engines_t *engines, fleet_t *fleet,
    allowances_t *allowances, time_us_t now);

/* Appends the engine_step_t that are due. Call several times a second. */
void engines_tick(engines_t *engines, time_us_t now, GArray *steps);

/* Takes the answer to the poll of this time; state NULL: it failed. */
void engines_on_state(engines_t *engines, const char *target,
    time_us_t decided_at, const engine_state_t *state);

/* Takes the end of the command with this fence. */
void engines_on_result(engines_t *engines, const char *target, uint64_t fence,
    command_result_t result, time_us_t now);

/* Returns "done", "fenced", "failed", "unsent" or "unknown". */
const char *command_result_name(command_result_t result);

#endif
