/*
 * current_speed.h
 * how long work takes at an endpoint at present, compared with its usual time, as the endpoint
 * states
 *
 * The relative latency of an endpoint is learned over many requests and says nothing about the
 * present moment. The stated slowdown multiplies it for as long as the statement is of use. This
 * module uses no clock: the caller passes the time.
 */
#ifndef COMETSPINDLE_GATEWAY_CURRENT_SPEED_H
#define COMETSPINDLE_GATEWAY_CURRENT_SPEED_H

#include <stdbool.h>
#include <stdint.h>

/** Statement of an endpoint that works as fast as usual. */
#define COMET_SLOWDOWN_USUAL_PERCENT 100

/** The newest statement of an endpoint; all zero: it has stated nothing. */
struct comet_current_speed
{
	uint32_t percent;    /**< time that work takes, in percent of the usual time */
	uint64_t stated_us;  /**< when; 0: never */
	uint64_t since_us;   /**< since when successive statements have been about the same */
	uint64_t changed_us; /**< newest statement of another percentage than the usual; 0: none */
};

/** Records a statement. One that is older than the recorded one is ignored.
 * @return false if the percentage is out of bounds; it is ignored then */
bool
comet_current_speed_observe(
	struct comet_current_speed *speed, uint32_t percent, uint64_t stated_us);

/** @return whether the newest statement still says something about the present. */
bool
comet_current_speed_is_fresh(const struct comet_current_speed *speed, uint64_t now_us);

/** @return the expected factor by which work takes longer now than usual; 1 if nothing is known. */
double
comet_current_speed_factor(const struct comet_current_speed *speed, uint64_t now_us);

/** @return the expected duration of work that begins now and usually takes usual_us. */
double
comet_current_speed_stretch(
	const struct comet_current_speed *speed, double usual_us, uint64_t now_us);

/** Computes how long work would usually have taken, from the time that it took.
 * @param end_us the end of the work
 * @return 0 if that is not known, because the speed changed during the work */
uint64_t
comet_current_speed_usual_us(
	const struct comet_current_speed *speed, uint64_t taken_us, uint64_t end_us);

#endif
