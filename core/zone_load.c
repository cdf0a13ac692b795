#include "core/zone_load.h"

/* Lowest address that is one of an instance: 1.0.0.0. */
#define ADDRESS_MIN 0x01000000u

load_sender_t
load_sender_of_zone(int zone)
{
	return (load_sender_t)zone + 1;
}

bool
load_sender_is_zone(load_sender_t sender)
{
	return sender < ADDRESS_MIN;
}

bool
zone_sum_accept(zone_sum_t *sum, uint32_t n_instances, time_us_t now)
{
	if (sum->accepted_at != 0 &&
	    now - sum->accepted_at < ZONE_SUM_HOLD_US &&
	    2 * n_instances < sum->n_instances)
		return false;
	*sum = (zone_sum_t){n_instances, now};
	return true;
}
