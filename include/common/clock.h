#ifndef COMMON_CLOCK_H
#define COMMON_CLOCK_H

#include "core/types.h"

/* Returns CLOCK_BOOTTIME in microseconds. */
time_us_t clock_now(void);

/* Returns Unix time, whole seconds since 1970. Order tickets expire by it. */
int64_t clock_wall_s(void);

#endif
