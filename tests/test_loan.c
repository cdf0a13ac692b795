#include <string.h>

#include "core/loan.h"
#include "test.h"

G_DEFINE_AUTOPTR_CLEANUP_FUNC(loans_t, loans_destroy)

static loan_request_t
request_of(uint64_t id, time_us_t at)
{
	loan_request_t request = {.team = "t",
	    .borrower = "b",
	    .incarnation = 5,
	    .request_id = id,
	    .requested_at = at};

	return request;
}

static loan_grant_t
grant_of(uint64_t loan_id, share_t share, time_us_t requested_at)
{
	loan_grant_t grant = {.team = "t",
	    .lender = "a",
	    .incarnation = 9,
	    .loan_id = loan_id,
	    .share = share,
	    .requested_at = requested_at};

	return grant;
}

/* Guards against accepting a grant that is repeated, late or already returned.
 */
TEST(grant_counts_once)
{
	g_autoptr(loans_t) loans = loans_create(1);
	loan_grant_t grant = grant_of(7, 100, 50);
	loan_return_t returned;

	ck_assert(loan_accept(loans, &grant, 60));
	ck_assert(!loan_accept(loans, &grant, 61));
	ck_assert_uint_eq(loan_borrowed(loans, "t"), 100);
	ck_assert(loan_return(loans, "t", 7, 70, &returned));
	ck_assert_uint_eq(returned.share, 100);
	ck_assert(!loan_return(loans, "t", 7, 70, &returned));
	ck_assert(!loan_accept(loans, &grant, 80));
	ck_assert_uint_eq(loan_borrowed(loans, "t"), 0);
	grant.incarnation = 10;
	ck_assert(loan_accept(loans, &grant, 90));
	loan_expire(loans, 50 + LOAN_US);
	ck_assert_uint_eq(loan_borrowed(loans, "t"), 0);
	ck_assert(!loan_accept(loans, &grant, 50 + LOAN_US));
}

/* Guards against a lender whose record of a loan ends before the borrower's,
 * when the request was delayed and the lender's clock is fast. */
TEST(lender_outlasts_borrower)
{
	g_autoptr(loans_t) loans = loans_create(1);
	loan_request_t request = request_of(3, 0);
	uint64_t id = loan_lend(loans, &request, 100, 1000);

	ck_assert_uint_ne(id, 0);
	loan_expire(loans, 1000 + LOAN_US);
	ck_assert_uint_eq(loan_lent(loans, "t"), 100);
	ck_assert_int_eq(
	    loan_next_expiry(loans), 1000 + LOAN_US + LOAN_US / 100);
	loan_extend(loans, &request, 5000);
	loan_expire(loans, 1000 + LOAN_LENT_US);
	ck_assert_uint_eq(loan_lent(loans, "t"), 100);
	loan_expire(loans, 5000 + LOAN_LENT_US);
	ck_assert_uint_eq(loan_lent(loans, "t"), 0);
	ck_assert(!loan_exists(loans, "t"));
}

/* Guards against a share that is returned twice, by a repeated RETURN or one
 * for an earlier process of the lender. */
TEST(return_counts_once)
{
	g_autoptr(loans_t) earlier = loans_create(1000);
	g_autoptr(loans_t) loans = loans_create(77);
	loan_request_t request = request_of(3, 0);
	loan_return_t returned = {.team = "t", .borrower = "b", .share = 100};

	returned.loan_id = loan_lend(earlier, &request, 100, 0);
	loan_lend(loans, &request, 100, 0);
	ck_assert(!loan_on_return(loans, &returned));
	ck_assert(loan_on_return(earlier, &returned));
	ck_assert(!loan_on_return(earlier, &returned));
	ck_assert_uint_eq(loan_lent(earlier, "t"), 0);
	ck_assert_uint_eq(loan_lent(loans, "t"), 100);
}

/* Guards against a renewal that shortens a loan or counts as another one. */
TEST(renewal_extends_a_running_loan)
{
	g_autoptr(loans_t) loans = loans_create(1);
	loan_grant_t late = grant_of(7, 100, 4000);
	loan_grant_t early = grant_of(7, 100, 50);

	ck_assert(loan_accept(loans, &late, 4100));
	ck_assert(!loan_accept(loans, &early, 4200));
	ck_assert_int_eq(loan_next_end(loans, "t"), 4000 + LOAN_US);
	late.requested_at = 9000;
	ck_assert(!loan_accept(loans, &late, 9100));
	ck_assert_int_eq(loan_next_end(loans, "t"), 9000 + LOAN_US);
	ck_assert_uint_eq(loan_borrowed(loans, "t"), 100);
}

TEST_MAIN("loan")
