#ifndef CORE_ZONE_LOAD_H
#define CORE_ZONE_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

/*
 * How the load on targets travels within a region.
 *
 * Load pattern: a region of dozens of instances in several zones, in which
 * bytes between zones are expensive. If every instance reported to every other
 * one, bytes would grow with the square of the instances. Instead an instance
 * reports to those of its zone only, and ZONE_SPEAKERS of them send the sum of
 * their zone to the other zones, each in every ZONE_SUM_TICKS-th load interval.
 *
 * The speakers are the first by rendezvous hash among the live instances of the
 * zone. Nothing has to be agreed: a receiver keeps one sum for each zone, the
 * newest, whoever sent it. With wrong views more instances may speak, which
 * costs bytes, or none for as long as a dead instance is believed to be alive
 * (MEMBER_LOCAL_TIMEOUT_US); with two speakers, one that dies leaves the other.
 */
#define ZONE_SPEAKERS 2
#define ZONE_SUM_TICKS 2

/* Key for members_is_zone_responsible(): "speaker" in ASCII. */
#define ZONE_SPEAKER_KEY UINT64_C(0x737065616b6572)

/*
 * Sender of a load report: the address of an instance, or a zone for the sum of
 * that zone. Addresses below 1.0.0.0 are not assigned to hosts.
 */
typedef uint32_t load_sender_t;

load_sender_t load_sender_of_zone(int zone);
bool load_sender_is_zone(load_sender_t sender);

/* The sums of one zone that were accepted last. */
typedef struct {
	uint32_t n_instances;
	time_us_t accepted_at; /* 0: none yet */
} zone_sum_t;

/* Time for which a sum stands against one of much fewer instances. */
#define ZONE_SUM_HOLD_US (600 * US_PER_MS)

/*
 * Decides whether a sum over n_instances replaces the last one. A speaker that
 * has just started, or that receives nothing from its zone, sends a sum of few
 * instances; it is ignored while another speaker sends one of more than twice
 * as many, as the targets would seem idle.
 */
bool zone_sum_accept(zone_sum_t *sum, uint32_t n_instances, time_us_t now);

#endif
