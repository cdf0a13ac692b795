#ifndef CORE_LOAN_H
#define CORE_LOAN_H

#include <stdbool.h>
#include <stddef.h>

#include "core/membership.h"

/*
 * Shares lent to and borrowed from other instances, by team. Only teams with a
 * loan have an entry. The caller keeps lent shares within its own share; this
 * table keeps each loan from counting twice:
 *
 * - the lender's record starts before the grant is sent and ends after the
 *   borrower's, which counts from the time of the request;
 * - the borrower counts a grant once for each (lender, incarnation, loan id),
 *   and a returned loan never again.
 */
typedef struct loans loans_t;

/* A lender keeps its record this long, counted from the grant. */
#define LOAN_LENT_US DRIFT_MARGIN(LOAN_US)

/* BORROW: a repeated request_id of one borrower renews the same loan. */
typedef struct {
	char team[NAME_LIMIT + 1];
	char borrower[NAME_LIMIT + 1];
	incarnation_t incarnation; /* of the borrower */
	uint64_t request_id;
	share_t share;
	int64_t tokens;		/* micro-tokens */
	time_us_t requested_at; /* borrower's clock; echoed in the grant */
} loan_request_t;

/* The answer to a BORROW. loan_id 0: nothing was lent. */
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

/* RETURN: the borrower gives a whole loan back. */
typedef struct {
	char team[NAME_LIMIT + 1];
	char borrower[NAME_LIMIT + 1];
	char lender[NAME_LIMIT + 1]; /* to whom it goes */
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
	share_t share; /* 0: returned, kept against late grants */
	time_us_t ends_at;
	time_us_t next_ask_at; /* for the caller: next renewal */
} loan_borrowed_t;

/* Loan ids count from the incarnation, so that those of two processes of one
 * name don't meet. */
loans_t *loans_create(incarnation_t incarnation);
void loans_destroy(loans_t *loans);

/* Records a new loan and returns its id. The share counts as lent at once. */
uint64_t loan_lend(loans_t *loans, const loan_request_t *request, share_t share,
    time_us_t now);

/* Returns the running loan of an earlier request with this id, or NULL. */
const loan_lent_t *loan_find_lent(
    const loans_t *loans, const loan_request_t *request, time_us_t now);

/* Makes the running loan of an earlier request last from now. */
void loan_extend(loans_t *loans, const loan_request_t *request, time_us_t now);

/*
 * Counts a grant. Returns true when it is a new loan, whose tokens may be added
 * to the bucket; false when it renewed a known loan or doesn't count.
 */
bool loan_accept(loans_t *loans, const loan_grant_t *grant, time_us_t now);

/*
 * Ends a borrowed loan before its time and fills the message to its lender.
 * Returns false when there is no such loan.
 */
bool loan_return(loans_t *loans, const char *team, uint64_t loan_id,
    time_us_t now, loan_return_t *message);

/* Takes a RETURN. Returns whether a lent share came back. */
bool loan_on_return(loans_t *loans, const loan_return_t *message);

/* Drops the records of all teams, or of one, that have ended. */
void loan_expire(loans_t *loans, time_us_t now);
void loan_expire_team(loans_t *loans, const char *team, time_us_t now);

share_t loan_borrowed(const loans_t *loans, const char *team);
share_t loan_lent(const loans_t *loans, const char *team);
bool loan_exists(const loans_t *loans, const char *team);

/* Time at which the next borrowed share of a team ends; INT64_MAX: none. */
time_us_t loan_next_end(const loans_t *loans, const char *team);

/* Time at which the next record of any team ends; INT64_MAX: none. */
time_us_t loan_next_expiry(const loans_t *loans);

/* The loans that a team has borrowed, in the order of acceptance. */
size_t loan_n_borrowed(const loans_t *loans, const char *team);
loan_borrowed_t *loan_borrowed_at(
    const loans_t *loans, const char *team, size_t i);

/* Copies the name of one borrower of this team's lent shares, if any. */
void loan_first_borrower(
    const loans_t *loans, const char *team, char name[NAME_LIMIT + 1]);

/* Calls visit for each team with lent shares. */
void loan_each_lent(const loans_t *loans,
    void (*visit)(const char *team, share_t lent, void *data), void *data);

#endif
