#include "core/limiter.h"
#include "share_lists.h"
#include "test.h"

#define RATE 1000
#define BURST 2000
#define HALF (SHARE_ONE / 2)

/* Two instances in one zone, each with half of the rate. */
typedef struct {
	membership_t *m[2];
	limiter_t *a[2];
	time_us_t now;
} pair_case_t;

enum { LENDER, BORROWER };

static const char *const names[] = {"l", "b"};

/* Advances the clock with a heartbeat a second, so that the leases last. */
static void
case_run(pair_case_t *t, int seconds)
{
	for (int s = 0; s < seconds; s++) {
		t->now += US_PER_S;
		for (int i = 0; i < 2; i++) {
			heartbeat_t request = {0}, reply = {0};

			membership_fill(t->m[i], &request, t->now);
			membership_on_heartbeat(
			    t->m[1 - i], &request, &reply, t->now);
			membership_on_reply(t->m[i], &reply, t->now);
		}
		for (int i = 0; i < 2; i++)
			limiter_sweep(t->a[i], t->now);
	}
}

static pair_case_t
case_create(void)
{
	static const uint32_t weights[] = {1};
	pair_case_t t = {.now = US_PER_S};
	fleet_t *fleet = fleet_build(1, 2);
	plans_t *plans = plans_build(1, "t:-");
	allowances_t *allowances =
	    allowances_build(1, weights, 1, 1, RATE, BURST);

	for (int i = 0; i < 2; i++)
		fleet_put(fleet, names[i], "z0", MEMBER_LIVE);
	for (int i = 0; i < 2; i++) {
		t.m[i] = membership_create(names[i], "z0", 1, t.now);
		t.a[i] = limiter_create(t.m[i], names[i], 1);
		limiter_adopt(t.a[i], fleet, plans, allowances, t.now);
	}
	fleet_unref(fleet);
	plans_unref(plans);
	allowances_unref(allowances);
	case_run(&t, 14);
	return t;
}

static void
case_destroy(pair_case_t *t)
{
	for (int i = 0; i < 2; i++) {
		limiter_destroy(t->a[i]);
		membership_destroy(t->m[i]);
	}
}

static limiter_result_t
reserve(pair_case_t *t, int who, int64_t tokens)
{
	return limiter_reserve(t->a[who], "t", tokens, true, t->now);
}

static uint64_t
in_use(pair_case_t *t)
{
	return (uint64_t)limiter_in_use(t->a[LENDER], "t", t->now) +
	       limiter_in_use(t->a[BORROWER], "t", t->now);
}

/* The borrower requests the share that one request lacks and is granted it. */
static loan_grant_t
borrow(pair_case_t *t)
{
	outgoing_loan_request_t outgoing;
	loan_grant_t grant;

	ck_assert(reserve(t, BORROWER, BURST * 3 / 4).needs_loan);
	ck_assert(limiter_wants_loan(t->a[BORROWER], "t", t->now, &outgoing));
	limiter_lend(t->a[LENDER], &outgoing.request, t->now, &grant);
	limiter_on_grant(t->a[BORROWER], &grant, t->now);
	return grant;
}

/* Guards against admissions above an instance's own share, a wait that is too
 * short or endless, and a settlement that doesn't return unused tokens. */
TEST(admissions_stay_within_own_share)
{
	pair_case_t t = case_create();
	limiter_result_t result = reserve(&t, LENDER, BURST / 2);
	limiter_result_t next;

	ck_assert_int_eq(result.verdict, LIMITER_ADMITTED);
	next = reserve(&t, LENDER, 100);
	ck_assert_int_eq(next.verdict, LIMITER_WAIT);
	ck_assert_int_eq(next.ready_at, t.now + US_PER_S / 5);
	limiter_settle(
	    t.a[LENDER], "t", &result.reservation, BURST / 2 - 100, t.now);
	ck_assert_int_eq(reserve(&t, LENDER, 101).verdict, LIMITER_WAIT);
	ck_assert_int_eq(reserve(&t, LENDER, 100).verdict, LIMITER_ADMITTED);
	ck_assert_int_eq(reserve(&t, LENDER, BURST + 1).verdict, LIMITER_NEVER);
	ck_assert_int_eq(
	    limiter_reserve(t.a[LENDER], "u", 1, true, t.now).verdict,
	    LIMITER_NEVER);
	case_destroy(&t);
}

/* Guards against a loan that raises the sum of the shares, counts twice, or
 * moves no tokens. */
TEST(loan_moves_share_once)
{
	pair_case_t t = case_create();
	loan_grant_t grant = borrow(&t);
	share_t own = limiter_in_use(t.a[BORROWER], "t", t.now);

	ck_assert_uint_gt(grant.share, 0);
	ck_assert_uint_eq(own, HALF + grant.share);
	ck_assert_uint_eq(in_use(&t), SHARE_ONE);
	limiter_on_grant(t.a[BORROWER], &grant, t.now);
	ck_assert_uint_eq(limiter_in_use(t.a[BORROWER], "t", t.now), own);
	ck_assert_int_eq(
	    reserve(&t, BORROWER, BURST * 3 / 4).verdict, LIMITER_ADMITTED);
	ck_assert_int_eq(reserve(&t, LENDER, BURST / 2).verdict, LIMITER_WAIT);
	case_destroy(&t);
}

/* Guards against a lender that lends the share that its own demand needs. */
TEST(lender_keeps_its_demand)
{
	pair_case_t t = case_create();
	outgoing_loan_request_t outgoing;
	loan_grant_t grant;

	for (int i = 0; i < 20; i++) {
		case_run(&t, 1);
		reserve(&t, LENDER, RATE / 2);
	}
	reserve(&t, BORROWER, BURST);
	ck_assert(limiter_wants_loan(t.a[BORROWER], "t", t.now, &outgoing));
	limiter_lend(t.a[LENDER], &outgoing.request, t.now, &grant);
	ck_assert_uint_eq(grant.loan_id, 0);
	limiter_on_grant(t.a[BORROWER], &grant, t.now);
	ck_assert(!limiter_wants_loan(t.a[BORROWER], "t", t.now, &outgoing));
	t.now += LOAN_RETRY_US;
	ck_assert(limiter_wants_loan(t.a[BORROWER], "t", t.now, &outgoing));
	case_destroy(&t);
}

/* Guards against a loan that is returned late, twice or never. */
TEST(unneeded_loan_is_returned)
{
	pair_case_t t = case_create();
	loan_return_t message;

	borrow(&t);
	ck_assert(!limiter_return(t.a[BORROWER], "t", NULL, t.now, &message));
	case_run(&t, 8);
	ck_assert(limiter_return(t.a[BORROWER], "t", NULL, t.now, &message));
	ck_assert_uint_eq(limiter_borrowed(t.a[BORROWER], "t", t.now), 0);
	ck_assert_uint_lt(in_use(&t), SHARE_ONE);
	limiter_on_return(t.a[LENDER], &message, t.now);
	limiter_on_return(t.a[LENDER], &message, t.now);
	ck_assert_uint_eq(in_use(&t), SHARE_ONE);
	ck_assert(!limiter_return(t.a[BORROWER], "t", NULL, t.now, &message));
	case_destroy(&t);
}

/* Guards against a lender that uses its share again before the loan has ended
 * at the borrower, and against one that never does. */
TEST(loan_ends_at_the_borrower_first)
{
	pair_case_t t = case_create();

	borrow(&t);
	case_run(&t, 9);
	ck_assert_uint_eq(in_use(&t), SHARE_ONE);
	case_run(&t, 1);
	ck_assert_uint_eq(limiter_borrowed(t.a[BORROWER], "t", t.now), 0);
	ck_assert_uint_gt(limiter_lent(t.a[LENDER], "t", t.now), 0);
	case_run(&t, 1);
	ck_assert_uint_eq(limiter_lent(t.a[LENDER], "t", t.now), 0);
	ck_assert_uint_eq(in_use(&t), SHARE_ONE);
	case_destroy(&t);
}

/* Guards against a renewal that goes to another lender, raises the sum of the
 * shares, or is granted although the lender needs its share. */
TEST(loan_is_renewed_while_needed)
{
	pair_case_t t = case_create();
	loan_grant_t first = borrow(&t), grant;
	outgoing_loan_request_t outgoing;

	for (int i = 0; i < 7; i++) {
		reserve(&t, BORROWER, RATE);
		case_run(&t, 1);
	}
	ck_assert(limiter_wants_loan(t.a[BORROWER], "t", t.now, &outgoing));
	ck_assert_str_eq(outgoing.lender, "l");
	ck_assert_uint_eq(outgoing.request.request_id, first.request_id);
	limiter_lend(t.a[LENDER], &outgoing.request, t.now, &grant);
	ck_assert_uint_eq(grant.loan_id, first.loan_id);
	limiter_on_grant(t.a[BORROWER], &grant, t.now);
	ck_assert_uint_eq(in_use(&t), SHARE_ONE);
	case_run(&t, 5);
	ck_assert_uint_eq(
	    limiter_borrowed(t.a[BORROWER], "t", t.now), first.share);
	for (int i = 0; i < 8; i++)
		reserve(&t, LENDER, BURST / 2);
	outgoing.request.requested_at = t.now;
	limiter_lend(t.a[LENDER], &outgoing.request, t.now, &grant);
	ck_assert_uint_eq(grant.loan_id, 0);
	case_destroy(&t);
}

TEST_MAIN("limiter")
