/*
 * reader_election.h
 * whether this VM reads the directory, or follows the readers of its availability zone
 *
 * Two VMs of a large zone read the directory for all and report how far; calls
 * would otherwise grow as VMs times changes. Readers are chosen by rendezvous,
 * without coordination; a VM without a fresh report reads for itself. Two opinions
 * on who reads cost some calls and nothing else. No sockets and no clock.
 */
#ifndef COMETSPINDLE_GATEWAY_READER_ELECTION_H
#define COMETSPINDLE_GATEWAY_READER_ELECTION_H

#include <libcometspindle/gateway/directory.h>
#include <stdbool.h>
#include <stdint.h>

/** A report of a reader. */
struct comet_reader_report
{
	uint32_t vm;
	uint64_t position; /**< up to which its endpoints are complete */
	uint64_t complete; /**< up to which everything is */
	uint64_t age_us;   /**< of the directory's last answer to it */
};

/** What this VM knows of itself and its zone. */
struct comet_reader_election_state
{
	bool listed;       /**< it has read the directory once */
	bool leaving;      /**< it stops */
	uint32_t zone_vms; /**< alive in its zone, itself included */
	uint32_t better;   /**< of them, those better suited as readers */
	uint64_t position; /**< up to which its endpoints are complete */
};

struct comet_reader_election;

/** followed_us: how long a report is fresh after the directory's answer. seed: of jitter, which
 * must differ between VMs. */
struct comet_reader_election *
comet_reader_election_create(void *parent, uint64_t followed_us, uint64_t seed);

/** Takes a report of a reader of this zone. */
void
comet_reader_election_report(struct comet_reader_election *reader_election,
	const struct comet_reader_report *report, uint64_t now_us);

/** A reader did not provide what it had reported. */
void
comet_reader_election_failed(struct comet_reader_election *reader_election, uint64_t now_us);

/** @return what this VM is to do; to be asked some times a second. */
enum comet_directory_mode
comet_reader_election_decide(struct comet_reader_election *reader_election,
	const struct comet_reader_election_state *sight, uint64_t now_us);

/** @return the fresh reader with the most endpoints after `position`, or 0. */
uint32_t
comet_reader_election_ahead(
	const struct comet_reader_election *reader_election, uint64_t position, uint64_t now_us);

/** @return a fresh reader that is complete after `position`, or 0. */
uint32_t
comet_reader_election_ahead_complete(
	const struct comet_reader_election *reader_election, uint64_t position, uint64_t now_us);

/** @return a random fresh reader whose endpoints are complete up to `position`, or 0. */
uint32_t
comet_reader_election_pick(
	struct comet_reader_election *reader_election, uint64_t position, uint64_t now_us);

/** @return whether a report of this age is fresh. */
bool
comet_reader_election_is_fresh(
	const struct comet_reader_election *reader_election, uint64_t age_us);

#endif
