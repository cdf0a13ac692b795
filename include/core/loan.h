#ifndef CORE_LOAN_H
#define CORE_LOAN_H

#include <stdbool.h>
#include <stddef.h>

#include "core/membership.h"

/*
 * Shares lent to and borrowed from other instances, by team. Only teams with a
 * loan have an entry. The caller makes sure that it lends no more than its own
 * share; this table makes sure that no loan counts twice:
 *
 * - the lender's record starts before the grant is sent and ends after that of
 *   the borrower, whose loan is counted from the time of the request;
 * - the borrower accepts a grant once for each (lender, incarnation, loan id),
 *   and never again after it has returned the loan.
 */
typedef struct loans loans_t;

/* The lender's record of a loan lasts this long after the grant. */
#define LOAN_LENT_US DRIFT_MARGIN(LOAN_US)

/* BORROW message. A request_id that a borrower repeats renews its loan. */
typedef struct {
	char team[NAME_LIMIT + 1];
	char borrower[NAME_LIMIT + 1];
	incarnation_t incarnation; /* of the borrower */
	uint64_t request_id;
	share_t share;
	int64_t tokens;		/* micro-tokens */
	time_us_t requested_at; /* borrower's clock; copied into the grant */
} loan_request_t;

/* Reply to a BORROW message. loan_id 0: nothing was lent. */
typedef struct {
	char team[NAME_LIMIT + 1];
	char lender[NAME_LIMIT + 1];
	incarnation_t incarnation; /* of the lender */
	uint64_t request_id;
	uint64_t loan_id;
	share_t share;
	int64_t tokens; /* micro-tokens */
	time_us_t requested_at;
} loan_grant_t;

/* RETURN message: the borrower returns a whole loan. */
typedef struct {
	char team[NAME_LIMIT + 1];
	char borrower[NAME_LIMIT + 1];
	char lender[NAME_LIMIT + 1];
	uint64_t loan_id;
	share_t share;
} loan_return_t;

typedef struct {
	char borrower[NAME_LIMIT + 1];
	incarnation_t incarnation;
	uint64_t request_id;
	uint64_t loan_id;
	share_t share;
	time_us_t ends_at;
} loan_lent_t;

typedef struct {
	char lender[NAME_LIMIT + 1];
	incarnation_t incarnation;
	uint64_t request_id;
	uint64_t loan_id;
	share_t share; /* 0: returned, kept to reject late grants */
	time_us_t ends_at;
	time_us_t next_renewal_at; /* set by the caller: next renewal */
} loan_borrowed_t;

/* Loan ids start at the incarnation, so that two processes of the same name
 * don't use the same ids. */
loans_t *loans_create(incarnation_t incarnation);
void loans_destroy(loans_t *loans);

/* Records a new loan, whose share counts as lent from now on. Returns its id.
 */
uint64_t loan_lend(loans_t *loans, const loan_request_t *request, share_t share,
    time_us_t now);

/* Returns the current loan of an earlier request with this id, or NULL. */
const loan_lent_t *loan_find_lent(
    const loans_t *loans, const loan_request_t *request, time_us_t now);

/* Restarts the duration of the current loan of an earlier request. */
void loan_extend(loans_t *loans, const loan_request_t *request, time_us_t now);

/*
 * Records a received grant. Returns true for a new loan, whose tokens may be
 * added to the bucket, and false when the grant renewed a known loan or was
 * rejected.
 */
bool loan_accept(loans_t *loans, const loan_grant_t *grant, time_us_t now);

/*
 * Ends a borrowed loan early and fills the message to its lender. Returns false
 * when there is no such loan.
 */
bool loan_return(loans_t *loans, const char *team, uint64_t loan_id,
    time_us_t now, loan_return_t *message);

/* Handles a RETURN message. Returns whether it ended a loan. */
bool loan_on_return(loans_t *loans, const loan_return_t *message);

/* Drop the records of ended loans, of all teams or of one. */
void loan_expire(loans_t *loans, time_us_t now);
void loan_expire_team(loans_t *loans, const char *team, time_us_t now);

share_t loan_borrowed(const loans_t *loans, const char *team);
share_t loan_lent(const loans_t *loans, const char *team);
bool loan_exists(const loans_t *loans, const char *team);

/* Returns when the next borrowed loan of a team ends; INT64_MAX: none. */
time_us_t loan_next_end(const loans_t *loans, const char *team);

/* Returns when the next record of any team ends; INT64_MAX: none. */
time_us_t loan_next_expiry(const loans_t *loans);

/* The borrowed loans of a team, in the order of acceptance. */
size_t loan_n_borrowed(const loans_t *loans, const char *team);
loan_borrowed_t *loan_borrowed_at(
    const loans_t *loans, const char *team, size_t i);

/* Copies the name of the borrower of the team's oldest loan, if any. */
void loan_first_borrower(
    const loans_t *loans, const char *team, char name[NAME_LIMIT + 1]);

/* Calls visit for each team with lent shares. */
void loan_each_lent(const loans_t *loans,
    void (*visit)(const char *team, share_t lent, void *data), void *data);

#endif
