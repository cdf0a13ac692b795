#include "core/bucket.h"

#include <glib.h>

typedef enum {
	EVENT_LIMITS,
	EVENT_CHARGE,
	EVENT_ADD,
	EVENT_WITHDRAW
} event_kind_t;

typedef struct {
	event_kind_t kind;
	bool open; /* EVENT_CHARGE: not settled */
	time_us_t at;
	int64_t amount;	  /* micro-tokens; EVENT_LIMITS: the rate */
	int64_t capacity; /* EVENT_LIMITS only */
} event_t;

typedef struct {
	int64_t level;
	int64_t fraction; /* of a micro-token, in units of 1e-6 */
	int64_t rate;
	int64_t capacity;
	time_us_t at;
} state_t;

struct bucket {
	state_t state; /* after all events */
	state_t base;  /* before the oldest kept event; replays start here */
	event_t *ring;
	size_t size;	/* of ring; a power of two */
	uint64_t first; /* id of the oldest kept event; ids start at 1 */
	uint64_t next;
	size_t n_open;
};

static void
state_clamp(state_t *state)
{
	if (state->level >= state->capacity) {
		state->level = state->capacity;
		state->fraction = 0;
	}
}

static void
state_refill(state_t *state, time_us_t now)
{
	__int128 gained;

	if (now <= state->at)
		return;
	gained = (__int128)state->rate * (now - state->at) + state->fraction;
	state->at = now;
	if (gained / US_PER_S >= state->capacity - state->level) {
		state->level = state->capacity;
		state->fraction = 0;
		return;
	}
	state->level += (int64_t)(gained / US_PER_S);
	state->fraction = (int64_t)(gained % US_PER_S);
}

static void
state_apply(state_t *state, const event_t *event)
{
	state_refill(state, event->at);
	switch (event->kind) {
	case EVENT_LIMITS:
		state->rate = event->amount;
		state->capacity = event->capacity;
		break;
	case EVENT_CHARGE:
	case EVENT_WITHDRAW:
		state->level -= event->amount;
		break;
	case EVENT_ADD:
		/* Compares without adding, so that a large amount can't
		 * overflow. */
		if (event->amount > state->capacity - state->level)
			state->level = state->capacity;
		else
			state->level += event->amount;
		break;
	}
	state_clamp(state);
}

bucket_t *
bucket_create(time_us_t now)
{
	bucket_t *bucket = g_new0(bucket_t, 1);

	bucket->state.at = now;
	bucket->base = bucket->state;
	bucket->first = 1;
	bucket->next = 1;
	return bucket;
}

void
bucket_destroy(bucket_t *bucket)
{
	if (bucket == NULL)
		return;
	g_free(bucket->ring);
	g_free(bucket);
}

static event_t *
bucket_event(const bucket_t *bucket, uint64_t id)
{
	return &bucket->ring[id & (bucket->size - 1)];
}

static void
bucket_drop_oldest(bucket_t *bucket)
{
	event_t *event = bucket_event(bucket, bucket->first);

	if (event->open)
		bucket->n_open--;
	state_apply(&bucket->base, event);
	bucket->first++;
}

/* Drops all events before the oldest open reservation. */
static void
bucket_trim(bucket_t *bucket)
{
	if (bucket->n_open == 0) {
		bucket->first = bucket->next;
		bucket->base = bucket->state;
		return;
	}
	while (!bucket_event(bucket, bucket->first)->open)
		bucket_drop_oldest(bucket);
}

static void
bucket_grow(bucket_t *bucket)
{
	size_t size = bucket->size == 0 ? 16 : bucket->size * 2;
	event_t *ring = g_new0(event_t, size);

	for (uint64_t id = bucket->first; id < bucket->next; id++)
		ring[id & (size - 1)] = *bucket_event(bucket, id);
	g_free(bucket->ring);
	bucket->ring = ring;
	bucket->size = size;
}

static uint64_t
bucket_record(bucket_t *bucket, event_t event)
{
	if (event.at < bucket->state.at)
		event.at = bucket->state.at;
	state_apply(&bucket->state, &event);
	if (bucket->n_open == 0 && !event.open) {
		bucket_trim(bucket);
		return 0;
	}
	if (bucket->next - bucket->first == BUCKET_EVENT_LIMIT)
		bucket_drop_oldest(bucket);
	else if (bucket->next - bucket->first == bucket->size)
		bucket_grow(bucket);
	*bucket_event(bucket, bucket->next) = event;
	if (event.open)
		bucket->n_open++;
	return bucket->next++;
}

void
bucket_set_limits(
    bucket_t *bucket, int64_t rate, int64_t capacity, time_us_t now)
{
	if (bucket->state.rate == rate && bucket->state.capacity == capacity)
		return;
	bucket_record(bucket, (event_t){EVENT_LIMITS, false, now, MAX(rate, 0),
				  MAX(capacity, 0)});
}

bool
bucket_reserve(
    bucket_t *bucket, int64_t tokens, time_us_t now, reservation_t *reservation)
{
	state_refill(&bucket->state, now);
	if (tokens < 0 || tokens > bucket->state.level)
		return false;
	if (bucket->n_open == 0)
		bucket_trim(bucket);
	reservation->tokens = tokens;
	reservation->id = bucket_record(
	    bucket, (event_t){EVENT_CHARGE, true, now, tokens, 0});
	return true;
}

static void
bucket_replay(bucket_t *bucket, time_us_t now)
{
	state_t state = bucket->base;

	for (uint64_t id = bucket->first; id < bucket->next; id++)
		state_apply(&state, bucket_event(bucket, id));
	state_refill(&state, MAX(now, bucket->state.at));
	bucket->state = state;
}

int64_t
bucket_settle(
    bucket_t *bucket, reservation_t *reservation, int64_t used, time_us_t now)
{
	uint64_t id = reservation->id;
	event_t *event;
	int64_t level;

	reservation->id = 0;
	if (id < bucket->first || id >= bucket->next)
		return 0;
	event = bucket_event(bucket, id);
	if (!event->open)
		return 0;
	state_refill(&bucket->state, now);
	level = bucket->state.level;
	event->open = false;
	bucket->n_open--;
	if (used < event->amount) {
		event->amount = MAX(used, 0);
		bucket_replay(bucket, now);
	}
	bucket_trim(bucket);
	return bucket->state.level - level;
}

void
bucket_add(bucket_t *bucket, int64_t tokens, time_us_t now)
{
	if (tokens > 0)
		bucket_record(
		    bucket, (event_t){EVENT_ADD, false, now, tokens, 0});
}

int64_t
bucket_withdraw(bucket_t *bucket, int64_t tokens, time_us_t now)
{
	int64_t withdrawn;

	state_refill(&bucket->state, now);
	withdrawn = CLAMP(tokens, 0, MAX(bucket->state.level, 0));
	if (withdrawn > 0)
		bucket_record(bucket,
		    (event_t){EVENT_WITHDRAW, false, now, withdrawn, 0});
	return withdrawn;
}

int64_t
bucket_level(bucket_t *bucket, time_us_t now)
{
	state_refill(&bucket->state, now);
	return bucket->state.level;
}

int64_t
bucket_capacity(const bucket_t *bucket)
{
	return bucket->state.capacity;
}

size_t
bucket_n_open(const bucket_t *bucket)
{
	return bucket->n_open;
}

time_us_t
bucket_ready_at(bucket_t *bucket, int64_t tokens, time_us_t now)
{
	const state_t *state = &bucket->state;
	__int128 missing, wait;

	state_refill(&bucket->state, now);
	if (tokens <= state->level)
		return MAX(now, state->at);
	if (tokens > state->capacity || state->rate <= 0)
		return INT64_MAX;
	missing = (__int128)(tokens - state->level) * US_PER_S;
	missing -= state->fraction;
	wait = (missing + state->rate - 1) / state->rate;
	return wait > INT64_MAX - state->at ? INT64_MAX
					    : state->at + (time_us_t)wait;
}

bool
bucket_is_low(bucket_t *bucket, time_us_t now)
{
	return bucket_level(bucket, now) < bucket->state.capacity / 2;
}

bool
bucket_is_idle(bucket_t *bucket, time_us_t now)
{
	return bucket->n_open == 0 &&
	       bucket_level(bucket, now) >= bucket->state.capacity;
}
