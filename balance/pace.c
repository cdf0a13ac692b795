#include "balance/pace.h"

#include <math.h>
#include <string.h>

/* Factor on the weight of earlier observations with each new one. */
#define MODEL_DECAY 0.997

/*
 * The initial line counts as observations of this weight at two prompt sizes,
 * so that the first answers, which may all be of one size, can't tilt it.
 */
#define INITIAL_WEIGHT 2.0
#define INITIAL_SHORT_TOKENS 400.0
#define INITIAL_LONG_TOKENS 6000.0

/* An observation counts as at most this many times the model, either way. */
#define OUTLIER_FACTOR 1.5

/* Weight of the newest request in the average of their tokens. */
#define REQUEST_WEIGHT 0.02

#define FIRST_MS_MIN 1.0
#define TOKEN_MS_MIN 0.0005
#define TOKEN_MS_MAX 2.0

/*
 * Weight of the newest observation in a target's slowness once many are known,
 * and the largest step, as a logarithm, that one counts for.
 */
#define SLOWNESS_WEIGHT 0.1
#define SLOWNESS_STEP_MAX 1.0

struct pace_log {
	pace_observation_t *ring;
	size_t limit;
	size_t next; /* position of the next observation */
	size_t n;    /* in the ring */
	size_t n_dropped;
};

static void
model_add(pace_model_t *model, double weight, double tokens, double ms)
{
	model->n += weight;
	model->tokens += weight * tokens;
	model->ms += weight * ms;
	model->tokens_tokens += weight * tokens * tokens;
	model->tokens_ms += weight * tokens * ms;
}

void
pace_model_init(pace_model_t *model)
{
	*model = (pace_model_t){
	    .first_ms = PACE_INITIAL_FIRST_MS,
	    .token_ms = PACE_INITIAL_TOKEN_MS,
	    .request_tokens = INITIAL_SHORT_TOKENS,
	};
	model_add(model, INITIAL_WEIGHT, INITIAL_SHORT_TOKENS,
	    pace_model_ms(model, INITIAL_SHORT_TOKENS));
	model_add(model, INITIAL_WEIGHT, INITIAL_LONG_TOKENS,
	    pace_model_ms(model, INITIAL_LONG_TOKENS));
}

double
pace_model_ms(const pace_model_t *model, double tokens)
{
	return model->first_ms + model->token_ms * tokens;
}

void
pace_model_note_request(pace_model_t *model, double tokens)
{
	model->request_tokens +=
	    REQUEST_WEIGHT * (tokens - model->request_tokens);
}

double
pace_model_room(const pace_model_t *model, double factor, double expected_ms,
    double limit_ms, double within_ms)
{
	double request_ms = factor * model->token_ms * model->request_tokens;

	if (expected_ms >= limit_ms)
		return 0;
	return 1 + (limit_ms - expected_ms + within_ms) / MAX(1, request_ms);
}

/* Least squares. A line that would fall below zero is turned about the mean. */
static void
model_fit(pace_model_t *model)
{
	double mean_tokens = model->tokens / model->n;
	double mean_ms = model->ms / model->n;
	double variance =
	    model->tokens_tokens / model->n - mean_tokens * mean_tokens;
	double covariance = model->tokens_ms / model->n - mean_tokens * mean_ms;

	if (variance > 1.0)
		model->token_ms =
		    CLAMP(covariance / variance, TOKEN_MS_MIN, TOKEN_MS_MAX);
	model->first_ms = mean_ms - model->token_ms * mean_tokens;
	if (model->first_ms >= FIRST_MS_MIN)
		return;
	model->first_ms = FIRST_MS_MIN;
	if (mean_tokens > 1.0)
		model->token_ms = CLAMP((mean_ms - FIRST_MS_MIN) / mean_tokens,
		    TOKEN_MS_MIN, TOKEN_MS_MAX);
}

void
pace_model_learn(pace_model_t *model, double tokens, double ms)
{
	double expected = pace_model_ms(model, tokens);

	model->n *= MODEL_DECAY;
	model->tokens *= MODEL_DECAY;
	model->ms *= MODEL_DECAY;
	model->tokens_tokens *= MODEL_DECAY;
	model->tokens_ms *= MODEL_DECAY;
	model_add(model, 1.0, tokens,
	    CLAMP(ms, expected / OUTLIER_FACTOR, expected * OUTLIER_FACTOR));
	model_fit(model);
}

void
pace_init(pace_t *pace)
{
	*pace = (pace_t){.slowness = 1.0, .stated = 1.0};
}

bool
pace_note_stated(pace_t *pace, double factor, time_us_t now)
{
	if (!(factor >= PACE_STATED_MIN && factor <= PACE_STATED_MAX))
		return false;
	pace->stated = factor;
	pace->stated_at = now;
	return true;
}

double
pace_stated(const pace_t *pace, time_us_t now)
{
	if (pace->stated_at == 0)
		return 1.0;
	return 1.0 + (pace->stated - 1.0) *
			 exp(-(double)MAX(0, now - pace->stated_at) /
			     PACE_STATED_TAU_US);
}

double
pace_factor(const pace_t *pace, time_us_t now)
{
	return pace->slowness * pace_stated(pace, now);
}

void
pace_learn(pace_t *pace, double ratio)
{
	double weight =
	    MAX(SLOWNESS_WEIGHT, 1.0 / ((double)pace->n_observed + 2));
	double step = log(CLAMP(ratio, PACE_SLOWNESS_MIN, PACE_SLOWNESS_MAX) /
			  pace->slowness);

	pace->slowness *=
	    exp(weight * CLAMP(step, -SLOWNESS_STEP_MAX, SLOWNESS_STEP_MAX));
	if (pace->n_observed < UINT32_MAX)
		pace->n_observed++;
}

pace_log_t *
pace_log_create(size_t limit)
{
	pace_log_t *log = g_new0(pace_log_t, 1);

	log->limit = MAX(limit, 1);
	log->ring = g_new0(pace_observation_t, log->limit);
	return log;
}

void
pace_log_destroy(pace_log_t *log)
{
	g_free(log->ring);
	g_free(log);
}

void
pace_log_add(pace_log_t *log, const pace_observation_t *observation)
{
	if (observation->tokens > PACE_TOLD_TOKENS_MAX ||
	    observation->ms > PACE_TOLD_MS_MAX) {
		log->n_dropped++;
		return;
	}
	log->ring[log->next] = *observation;
	log->next = (log->next + 1) % log->limit;
	if (log->n < log->limit)
		log->n++;
	else
		log->n_dropped++;
}

size_t
pace_log_take(pace_log_t *log, pace_observation_t *observations, size_t limit,
    size_t *n_dropped)
{
	size_t n = MIN(log->n, limit);

	for (size_t i = 0; i < n; i++)
		observations[i] =
		    log->ring[(log->next + log->limit - n + i) % log->limit];
	*n_dropped += log->n_dropped + log->n - n;
	log->n = 0;
	log->n_dropped = 0;
	return n;
}
