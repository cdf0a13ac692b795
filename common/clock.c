#include "common/clock.h"

#include <time.h>

time_us_t
clock_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (time_us_t)ts.tv_sec * US_PER_S + ts.tv_nsec / 1000;
}

int64_t
clock_wall_s(void)
{
	return (int64_t)time(NULL);
}
