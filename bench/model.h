#ifndef BENCH_MODEL_H
#define BENCH_MODEL_H

#include <glib.h>
#include <stdbool.h>

#include "core/queue.h"
#include "core/route.h"

/*
 * Discrete-event model of targets in virtual time, which drives the real
 * core/route, core/queue, core/bucket and core/spill. A target computes prompts
 * one after another, caches prompt prefixes (LRU) and generates more slowly the
 * more requests it holds. Instances share the targets of their region, each
 * with its part of the slots, and see the others' load only through late
 * reports. The same settings and seed give the same results.
 */

#define MODEL_TEAMS_MAX 8
#define MODEL_TARGETS_MAX 16
#define MODEL_INSTANCES_MAX 4
#define MODEL_REGIONS_MAX 2
#define MODEL_PREFIXES 2000

/* Slots of a target over all instances. */
#define MODEL_SLOTS 12

/* Prefixes that fit into a target's cache. */
#define MODEL_CACHE 60

#define MODEL_PREFIX_TOKENS 1200
#define MODEL_SUFFIX_TOKENS 150
#define MODEL_OUTPUT_TOKENS 120 /* mean, exponential */

#define MODEL_LIMIT_BURST_S 10

#define MODEL_REPORT_EVERY_US (250 * US_PER_MS)
#define MODEL_REPORT_LAG_TICKS 2 /* 500 ms */

/* First token within this time counts as answered in time. */
#define MODEL_GOAL_US (1300 * US_PER_MS)

#define MODEL_HEARTBEAT_EVERY_US (5 * US_PER_S) /* between regions */

/* Latest start after arrival that the queue is told, unless set. */
#define MODEL_START_US (1000 * US_PER_MS)

typedef struct {
	uint64_t seed;
	route_settings_t route;
	bool fifo; /* bounded FIFO without deadlines instead of core/queue */
	int n_instances;
	int n_targets;
	int n_teams;
	double zipf; /* exponent of the popularity of prefixes */
	double rate[MODEL_TEAMS_MAX]; /* requests a second of each team */
	int priority[MODEL_TEAMS_MAX];
	/* Rate limit of each team in requests a second, with
	 * MODEL_LIMIT_BURST_S of burst; 0: none. It is one for all instances
	 * and stands in for the limiter. */
	double limit;
	bool yields;	       /* teams above their rate, as in gate_yields() */
	time_us_t start_limit; /* 0: MODEL_START_US */
	/* Instances and targets are dealt out to the regions in turn. */
	int n_regions;	    /* 0: one */
	double in_region;   /* part of the requests that arrive in region 0 */
	bool spill;	    /* to the other region */
	time_us_t warm_up;  /* requests that arrive before are not counted */
	time_us_t duration; /* arrivals end here */
	/* Target 0 is out of the list from lost_at to back_at, then cold. */
	time_us_t lost_at;
	time_us_t back_at;
	uint32_t queue_limit; /* of each instance */
} model_settings_t;

/* Where the time to the first token of a request went. */
typedef struct {
	double all_ms;
	double slot_ms;	  /* until it was sent to a target */
	double turn_ms;	  /* until the target began its prompt */
	double prompt_ms; /* prompt and first token */
	int team;
	bool hit;
} model_parts_t;

typedef struct {
	GArray *first_token; /* double, ms; requests that were started */
	GArray *parts;	     /* model_parts_t, the same requests */
	GArray *on_target_0; /* the same, those on target 0 */
	uint64_t arrived[MODEL_TEAMS_MAX]; /* past the rate limit */
	uint64_t in_time[MODEL_TEAMS_MAX];
	GArray *by_team[MODEL_TEAMS_MAX]; /* first token, ms */
	uint64_t started;
	uint64_t refused;   /* by the queue: full, evicted, deadline */
	uint64_t forwarded; /* to the other region */
	uint64_t hits;
	int64_t computed; /* prompt tokens that were not in a cache */
	double seconds;	  /* virtual time that was counted */
} model_result_t;

/* Runs the model n_seeds times with seeds that follow from that of the settings
 * and collects the results of all runs. */
void model_run(
    const model_settings_t *settings, int n_seeds, model_result_t *result);
void model_result_clear(model_result_t *result);

/* Percentile of doubles, 0..100; sorts the array. 0 when it is empty. */
double percentile(GArray *values, double percent);

#endif
