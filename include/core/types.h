#ifndef CORE_TYPES_H
#define CORE_TYPES_H

#include <stdint.h>

/*
 * Time in microseconds of CLOCK_BOOTTIME, which also counts while the machine
 * sleeps. The core never reads a clock; every function takes the time.
 */
typedef int64_t time_us_t;

#define US_PER_S ((time_us_t)1000000)
#define US_PER_MS ((time_us_t)1000)

/* A share of a team's rate and burst, in units of 1 / SHARE_ONE. */
typedef uint32_t share_t;

#define SHARE_ONE ((share_t)1 << 30)

/* Longest name of a team, zone, service, instance or target, in bytes. */
#define NAME_LIMIT 63

#define KEY_HASH_BYTES 32
#define DIGEST_BYTES 16

/* Identifies one start of an instance's process; random and never 0. */
typedef uint64_t incarnation_t;

#endif
