#include "core/retry.h"

#include "core/poison.h"
#include "schedule.h"
#include "test.h"

G_DEFINE_AUTOPTR_CLEANUP_FUNC(poison_table_t, poison_table_destroy)

static const retry_facts_t retriable = {
    .loss = RETRY_LOSS_CLOSED,
    .idempotent = true,
    .bytes_to_target = 100,
    .attempts = 1,
    .deadline = 10 * US_PER_S,
    .targets_lost = 1,
};

static retry_reason_t
decide(retry_facts_t facts)
{
	retry_budget_t budget;

	retry_budget_init(&budget, 0);
	return retry_decide(&budget, &facts, 0);
}

/* Guards against each kind of forbidden retry. */
TEST(each_reason_that_forbids_a_retry)
{
	retry_facts_t facts = retriable;

	ck_assert_int_eq(decide(facts), RETRY_GRANTED);
	facts.idempotent = false;
	ck_assert_int_eq(decide(facts), RETRY_NOT_IDEMPOTENT);
	facts.bytes_to_target = 0; /* an order isn't retried even if unsent */
	ck_assert_int_eq(decide(facts), RETRY_NOT_IDEMPOTENT);
	facts = retriable;
	facts.attempts = 2;
	ck_assert_int_eq(decide(facts), RETRY_ATTEMPTS_USED);
	facts = retriable;
	facts.bytes_to_caller = 1;
	ck_assert_int_eq(decide(facts), RETRY_ANSWER_STARTED);
	facts.resumable = true;
	ck_assert_int_eq(decide(facts), RETRY_RESUME);
	facts = retriable;
	facts.deadline = RETRY_MIN_TIME_LEFT_US - 1;
	ck_assert_int_eq(decide(facts), RETRY_DEADLINE);
	for (int i = 0; i < RETRY_REASON_COUNT; i++)
		ck_assert_ptr_nonnull(retry_reason_name((retry_reason_t)i));
}

/* Guards against a retry that is decided before the loss is recorded. */
TEST(loss_is_recorded_before_a_retry)
{
	static const uint8_t digest[DIGEST_BYTES] = {1};
	g_autoptr(poison_table_t) table = poison_table_create("z", 4);
	retry_facts_t facts = retriable;

	facts.targets_lost = 0;
	ck_assert_int_eq(decide(facts), RETRY_LOSS_UNRECORDED);
	facts.bytes_to_target =
	    0; /* nothing ran, so there is no loss to record */
	ck_assert_int_eq(decide(facts), RETRY_GRANTED);
	facts = retriable;
	facts.targets_lost = poison_record_loss(table, digest, "w1", 0, 1);
	ck_assert_int_eq(decide(facts), RETRY_GRANTED);
	/* A later request with the same body loses its first target. */
	facts.targets_lost = poison_record_loss(table, digest, "w2", 2, 3);
	ck_assert_int_eq(decide(facts), RETRY_POISON);
}

/* Runs 200 first attempts per second of which one in `fails_in` fails. Returns
 * the number of retries. */
static int64_t
retries_granted(int64_t n_first_attempts, int fails_in, uint64_t seed)
{
	rng_t rng = {seed};
	retry_budget_t budget;
	retry_facts_t facts = retriable;
	int64_t granted = 0;

	retry_budget_init(&budget, 0);
	for (int64_t i = 0; i < n_first_attempts; i++) {
		time_us_t now = i * US_PER_S / 200;

		retry_first_attempt(&budget);
		facts.deadline = now + US_PER_S;
		if (rng_below(&rng, fails_in) == 0 &&
		    retry_decide(&budget, &facts, now) == RETRY_GRANTED)
			granted++;
	}
	return granted;
}

/* Guards against retries that multiply the load when a target is dead. */
TEST(retries_stay_within_a_tenth)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		for (int64_t n_first_attempts = 10; n_first_attempts <= 10000;
		     n_first_attempts *= 10) {
			int64_t n_granted =
			    retries_granted(n_first_attempts, 3, seed);

			/* Plus the one retry that a new budget holds. */
			ck_assert_int_le(n_granted, n_first_attempts / 10 + 1);
			ck_assert_int_eq(
			    retries_granted(n_first_attempts, 1, seed),
			    n_first_attempts / 10 + 1);
		}
	}
	ck_assert_int_ge(retries_granted(10000, 3, 1), 990);
	/* With few failures, nearly all are retried. */
	ck_assert_int_ge(retries_granted(10000, 20, 1), 450);
}

/* Guards against an instance with little traffic that never retries. */
TEST(floor_gives_one_retry_in_ten_seconds)
{
	retry_budget_t budget;
	retry_facts_t facts = retriable;
	int granted = 0;

	retry_budget_init(&budget, 0);
	for (time_us_t now = 0; now < 100 * US_PER_S; now += US_PER_S / 3) {
		facts.deadline = now + US_PER_S;
		if (retry_decide(&budget, &facts, now) == RETRY_GRANTED)
			granted++;
	}
	ck_assert_int_eq(granted, 10);
}

TEST_MAIN("retry")
