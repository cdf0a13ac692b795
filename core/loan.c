#include "core/loan.h"

#include <glib.h>
#include <string.h>

typedef struct {
	GArray *lent;	  /* loan_lent_t */
	GArray *borrowed; /* loan_borrowed_t */
} entry_t;

struct loans {
	GHashTable *teams; /* name -> entry_t */
	uint64_t next_id;
};

static void
entry_destroy(gpointer data)
{
	entry_t *entry = data;

	g_array_free(entry->lent, TRUE);
	g_array_free(entry->borrowed, TRUE);
	g_free(entry);
}

loans_t *
loans_create(incarnation_t incarnation)
{
	loans_t *loans = g_new0(loans_t, 1);

	loans->teams = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, entry_destroy);
	loans->next_id = incarnation;
	return loans;
}

void
loans_destroy(loans_t *loans)
{
	if (loans == NULL)
		return;
	g_hash_table_destroy(loans->teams);
	g_free(loans);
}

static entry_t *
entry_find(const loans_t *loans, const char *team)
{
	return g_hash_table_lookup(loans->teams, team);
}

static entry_t *
entry_ensure(loans_t *loans, const char *team)
{
	entry_t *entry = entry_find(loans, team);

	if (entry != NULL)
		return entry;
	entry = g_new0(entry_t, 1);
	entry->lent = g_array_new(FALSE, TRUE, sizeof(loan_lent_t));
	entry->borrowed = g_array_new(FALSE, TRUE, sizeof(loan_borrowed_t));
	g_hash_table_insert(loans->teams, g_strdup(team), entry);
	return entry;
}

static loan_lent_t *
lent_at(const entry_t *entry, guint i)
{
	return &g_array_index(entry->lent, loan_lent_t, i);
}

static loan_borrowed_t *
borrowed_at(const entry_t *entry, guint i)
{
	return &g_array_index(entry->borrowed, loan_borrowed_t, i);
}

uint64_t
loan_lend(
    loans_t *loans, const loan_request_t *request, share_t share, time_us_t now)
{
	entry_t *entry = entry_ensure(loans, request->team);
	loan_lent_t lent = {.incarnation = request->incarnation,
	    .request_id = request->request_id,
	    .share = share,
	    .ends_at = now + LOAN_LENT_US};

	/* Skips id 0, which means that nothing was lent. */
	if (++loans->next_id == 0)
		loans->next_id = 1;
	lent.loan_id = loans->next_id;
	g_strlcpy(lent.borrower, request->borrower, sizeof(lent.borrower));
	g_array_append_val(entry->lent, lent);
	return lent.loan_id;
}

static loan_lent_t *
lent_find(const loans_t *loans, const loan_request_t *request, time_us_t now)
{
	const entry_t *entry = entry_find(loans, request->team);

	for (guint i = 0; entry != NULL && i < entry->lent->len; i++) {
		loan_lent_t *lent = lent_at(entry, i);

		if (lent->request_id == request->request_id &&
		    lent->incarnation == request->incarnation &&
		    lent->ends_at > now &&
		    strcmp(lent->borrower, request->borrower) == 0)
			return lent;
	}
	return NULL;
}

const loan_lent_t *
loan_find_lent(
    const loans_t *loans, const loan_request_t *request, time_us_t now)
{
	return lent_find(loans, request, now);
}

void
loan_extend(loans_t *loans, const loan_request_t *request, time_us_t now)
{
	loan_lent_t *lent = lent_find(loans, request, now);

	if (lent != NULL)
		lent->ends_at = MAX(lent->ends_at, now + LOAN_LENT_US);
}

static loan_borrowed_t *
borrowed_find(const entry_t *entry, const loan_grant_t *grant)
{
	for (guint i = 0; i < entry->borrowed->len; i++) {
		loan_borrowed_t *loan = borrowed_at(entry, i);

		if (loan->loan_id == grant->loan_id &&
		    loan->incarnation == grant->incarnation &&
		    strcmp(loan->lender, grant->lender) == 0)
			return loan;
	}
	return NULL;
}

bool
loan_accept(loans_t *loans, const loan_grant_t *grant, time_us_t now)
{
	time_us_t ends_at = grant->requested_at + LOAN_US;
	loan_borrowed_t loan = {.incarnation = grant->incarnation,
	    .request_id = grant->request_id,
	    .loan_id = grant->loan_id,
	    .share = grant->share,
	    .ends_at = ends_at};
	loan_borrowed_t *known;
	entry_t *entry;

	if (grant->loan_id == 0 || grant->share == 0 ||
	    grant->share > SHARE_ONE || ends_at <= now ||
	    grant->requested_at > now)
		return false;
	entry = entry_ensure(loans, grant->team);
	known = borrowed_find(entry, grant);
	if (known != NULL) {
		if (known->share == grant->share && known->ends_at > now)
			known->ends_at = MAX(known->ends_at, ends_at);
		return false;
	}
	g_strlcpy(loan.lender, grant->lender, sizeof(loan.lender));
	g_array_append_val(entry->borrowed, loan);
	return true;
}

bool
loan_return(loans_t *loans, const char *team, uint64_t loan_id, time_us_t now,
    loan_return_t *message)
{
	entry_t *entry = entry_find(loans, team);

	for (guint i = 0; entry != NULL && i < entry->borrowed->len; i++) {
		loan_borrowed_t *loan = borrowed_at(entry, i);

		if (loan->loan_id != loan_id || loan->share == 0)
			continue;
		memset(message, 0, sizeof(*message));
		g_strlcpy(message->team, team, sizeof(message->team));
		g_strlcpy(
		    message->lender, loan->lender, sizeof(message->lender));
		message->loan_id = loan_id;
		message->share = loan->share;
		/* The record is kept until a grant for any earlier request has
		 * expired, so that none is accepted as a new loan. */
		loan->share = 0;
		loan->ends_at = now + LOAN_US;
		return true;
	}
	return false;
}

bool
loan_on_return(loans_t *loans, const loan_return_t *message)
{
	entry_t *entry = entry_find(loans, message->team);

	for (guint i = 0; entry != NULL && i < entry->lent->len; i++) {
		const loan_lent_t *lent = lent_at(entry, i);

		if (lent->loan_id != message->loan_id ||
		    lent->share != message->share ||
		    strcmp(lent->borrower, message->borrower) != 0)
			continue;
		g_array_remove_index(entry->lent, i);
		return true;
	}
	return false;
}

static void
entry_expire(entry_t *entry, time_us_t now)
{
	for (guint i = entry->lent->len; i > 0; i--) {
		if (lent_at(entry, i - 1)->ends_at <= now)
			g_array_remove_index(entry->lent, i - 1);
	}
	for (guint i = entry->borrowed->len; i > 0; i--) {
		if (borrowed_at(entry, i - 1)->ends_at <= now)
			g_array_remove_index(entry->borrowed, i - 1);
	}
}

static bool
entry_is_empty(const entry_t *entry)
{
	return entry->lent->len == 0 && entry->borrowed->len == 0;
}

void
loan_expire(loans_t *loans, time_us_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, loans->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry_expire(value, now);
		if (entry_is_empty(value))
			g_hash_table_iter_remove(&iter);
	}
}

void
loan_expire_team(loans_t *loans, const char *team, time_us_t now)
{
	entry_t *entry = entry_find(loans, team);

	if (entry == NULL)
		return;
	entry_expire(entry, now);
	if (entry_is_empty(entry))
		g_hash_table_remove(loans->teams, team);
}

static share_t
entry_lent(const entry_t *entry)
{
	share_t sum = 0;

	for (guint i = 0; i < entry->lent->len; i++)
		sum += lent_at(entry, i)->share;
	return sum;
}

share_t
loan_lent(const loans_t *loans, const char *team)
{
	const entry_t *entry = entry_find(loans, team);

	return entry == NULL ? 0 : entry_lent(entry);
}

share_t
loan_borrowed(const loans_t *loans, const char *team)
{
	const entry_t *entry = entry_find(loans, team);
	share_t sum = 0;

	for (guint i = 0; entry != NULL && i < entry->borrowed->len; i++)
		sum += borrowed_at(entry, i)->share;
	return sum;
}

bool
loan_exists(const loans_t *loans, const char *team)
{
	return entry_find(loans, team) != NULL;
}

time_us_t
loan_next_end(const loans_t *loans, const char *team)
{
	const entry_t *entry = entry_find(loans, team);
	time_us_t next = INT64_MAX;

	for (guint i = 0; entry != NULL && i < entry->borrowed->len; i++)
		next = MIN(next, borrowed_at(entry, i)->ends_at);
	return next;
}

time_us_t
loan_next_expiry(const loans_t *loans)
{
	time_us_t next = INT64_MAX;
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, loans->teams);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const entry_t *entry = value;

		next = MIN(next, loan_next_end(loans, key));
		for (guint i = 0; i < entry->lent->len; i++)
			next = MIN(next, lent_at(entry, i)->ends_at);
	}
	return next;
}

size_t
loan_n_borrowed(const loans_t *loans, const char *team)
{
	const entry_t *entry = entry_find(loans, team);

	return entry == NULL ? 0 : entry->borrowed->len;
}

loan_borrowed_t *
loan_borrowed_at(const loans_t *loans, const char *team, size_t i)
{
	return borrowed_at(entry_find(loans, team), (guint)i);
}

void
loan_first_borrower(
    const loans_t *loans, const char *team, char name[NAME_LIMIT + 1])
{
	const entry_t *entry = entry_find(loans, team);

	if (entry != NULL && entry->lent->len > 0)
		g_strlcpy(name, lent_at(entry, 0)->borrower, NAME_LIMIT + 1);
}

void
loan_each_lent(const loans_t *loans,
    void (*visit)(const char *team, share_t lent, void *data), void *data)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, loans->teams);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		share_t lent = entry_lent(value);

		if (lent > 0)
			visit(key, lent, data);
	}
}
