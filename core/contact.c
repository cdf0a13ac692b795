#include "core/contact.h"

#include <glib.h>

void
contact_note_confirmed(contact_t *contact, time_us_t requested_at)
{
	contact->confirmed_at = MAX(contact->confirmed_at, requested_at);
}

void
contact_update(
    contact_t *contact, bool hears_most, time_us_t lag, time_us_t now)
{
	bool stalled = now - contact->updated_at > CONTACT_STALL_US;

	contact->updated_at = now;
	if (!hears_most || lag > CONTACT_LAG_US)
		contact->since = 0;
	else if (stalled || contact->since == 0)
		contact->since = now;
}

bool
contact_hears_most(const contact_t *contact, time_us_t now)
{
	return contact->since != 0 &&
	       now - contact->updated_at <= CONTACT_STALL_US;
}

bool
contact_holds(const contact_t *contact, time_us_t now)
{
	if (contact->confirmed_at != 0 &&
	    now - contact->confirmed_at <= CONTACT_CONFIRMED_US)
		return true;
	return contact_hears_most(contact, now) &&
	       now - contact->since >= CONTACT_SETTLE_US;
}
