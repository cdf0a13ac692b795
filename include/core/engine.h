#ifndef CORE_ENGINE_H
#define CORE_ENGINE_H

#include "core/membership.h"

/*
 * Commands to engines. Compares the state that the allowances list desires with
 * the state that each engine reports, and decides which engine loads weights or
 * changes its role next. An order is a request that must not be repeated
 * (order.h); a command names the wanted result and may be repeated.
 *
 * Owners. The targets of a zone are divided into groups. A group has one owner
 * at a time: the rendezvous winner of the group's key among the zone's live
 * members, see membership_owns(). An owner runs one command at a time in each
 * group, so the number of groups limits the commands that run at a time:
 *
 *   - The weight store's loads_at_a_time are divided into permits among the
 *     zones that have a desired state. Each zone gets the quotient rounded
 *     down; the remainder goes to the zones that rank highest by hash. The
 *     division follows from the allowances list alone. A zone has as many
 *     groups as permits, over all its services. The parser refuses a limit
 *     lower than the number of these zones, so each zone can always load.
 *   - A service uses at most half as many groups as it has targets in the zone,
 *     and at least one. With two or more targets at least half stay up.
 *
 * Another division takes effect when the allowances list is agreed; until then
 * no command starts.
 *
 * Time. A command is decided only while the lease lasts for at least
 * DRIFT_MARGIN(COMMAND_LIMIT_US). It is not sent later than COMMAND_START_US
 * after the decision and runs for at most COMMAND_RUN_US at the engine, so it
 * ends within COMMAND_LIMIT_US and within the lease. An owner that acknowledges
 * a newer fleet list may lose its ownership before that, so the next owner
 * waits for DRIFT_MARGIN(COMMAND_LIMIT_US) after it got the group before its
 * first command. A role change needs no such wait at an engine that refuses old
 * fencing numbers.
 *
 * Fencing numbers. The first number of an owner is (version sum) << 29 | (start
 * of the process in seconds, modulo 2^29), or 1 more than the highest number
 * that the engine reports if that is larger. Each further number is at least 1
 * more than the last. The version sum is the agreed fleet version plus the
 * allowances version when the ownership began; by then all listed instances
 * must have acknowledged both. So neither version is lower than that of an
 * earlier owner, and an owner follows another only under a newer agreed fleet
 * version or, after a change of the division, a newer allowances version. The
 * sum is therefore larger even if no command of the last owner has reached the
 * engine yet. When the engine reports a larger sum, the lists were restarted
 * with lower version numbers; then each owner adds its sum to the reported one,
 * which keeps the order. A new process of the same name at the same versions
 * has a later start, and its predecessor can't send any more. Numbers fit in 63
 * bits: nothing is owned with a sum of FENCE_VERSION_LIMIT or more, and a state
 * with a fencing number above FENCE_LIMIT is not accepted. Up to a sum of 2^24
 * they are exact in JSON readers that use doubles.
 *
 * A process that is paused between its last check of the clock and the write
 * sends a command late. An engine that refuses old fencing numbers drops it if
 * the next owner has already sent a command. At an engine that ignores fencing
 * numbers this can't be prevented; the next owner sees the result when it
 * polls, and corrects it.
 */

#define COMMAND_LIMIT_US (20 * US_PER_S)
/* A command that isn't being sent by then is dropped: the process was paused.
 */
#define COMMAND_START_US (2 * US_PER_S)
/* Time limit sent to the engine, which gives up a command that takes longer.
 * It leaves 2 s for the transfer to the engine. */
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
	uint64_t fence; /* highest number that the engine has seen */
	bool busy;	/* the engine runs a command */
} engine_state_t;

typedef enum { COMMAND_LOAD, COMMAND_ROLE } command_kind_t;

typedef enum {
	COMMAND_DONE,
	COMMAND_FENCED, /* refused for its fencing number */
	COMMAND_FAILED, /* the engine answered with a failure */
	COMMAND_UNSENT, /* no byte was written */
	COMMAND_UNKNOWN /* it may still arrive or run */
} command_result_t;

typedef struct {
	bool poll; /* query the state; only target, url, decided_at are set */
	char target[NAME_LIMIT + 1];
	char url[512];
	command_kind_t kind;
	engine_config_t config;
	uint64_t fence;
	time_us_t decided_at;
	time_us_t start_by;
} engine_action_t;

/* Returns the number of this instance's requests at a target. */
typedef uint32_t (*engine_in_flight_t)(void *context, const char *target);

/* Rules that a test can disable to prove that its checks detect violations. */
typedef struct {
	bool any_owner;	       /* each instance with a lease sends commands */
	bool no_takeover_wait; /* a new owner sends commands at once */
	bool constant_fence;   /* every command has fencing number 1 */
	bool no_permits;       /* ignores the weight store's limit */
	bool no_service_limit; /* loads on all targets of a service */
	bool no_retry;	       /* gives up after a failure */
} engine_faults_t;

typedef struct engines engines_t;

/*
 * process_start_s: wall clock at the start of the process. Keeps a pointer to
 * the membership, which must outlive the result.
 */
engines_t *engines_create(
    membership_t *membership, const char *zone, int64_t process_start_s);
void engines_destroy(engines_t *engines);
void engines_set_in_flight(
    engines_t *engines, engine_in_flight_t in_flight, void *context);
void engines_set_faults(engines_t *engines, engine_faults_t faults);

/*
 * Applies the lists in force and updates which groups this instance owns. Must
 * be called after each adoption, because an ownership that is lost and regained
 * between two calls would go unnoticed. Lists may be NULL.
 */
void engines_set_lists(engines_t *engines, fleet_t *fleet,
    allowances_t *allowances, time_us_t now);

/* Appends due polls and commands to actions, an array of engine_action_t. Call
 * at least twice a second. */
void engines_tick(engines_t *engines, time_us_t now, GArray *actions);

/* Handles the result of the poll decided at this time; state NULL: it failed.
 */
void engines_on_state(engines_t *engines, const char *target,
    time_us_t decided_at, const engine_state_t *state);

/* Handles the result of the command with this fencing number. */
void engines_on_result(engines_t *engines, const char *target, uint64_t fence,
    command_result_t result, time_us_t now);

/* Returns "done", "fenced", "failed", "unsent" or "unknown". */
const char *command_result_name(command_result_t result);

#endif
