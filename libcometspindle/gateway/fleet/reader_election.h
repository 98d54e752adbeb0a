/*
 * reader_election.h
 * decides whether this VM reads the directory or follows the readers of its availability zone
 *
 * Two VMs of a large zone, the readers, read the directory and report their
 * positions to the others; otherwise the number of calls would grow as VMs times
 * changes. Each VM selects the readers by rendezvous hashing, without coordination,
 * and a VM without a fresh report reads the directory itself. If VMs disagree about
 * the readers, the only cost is some extra calls. This module uses no sockets and
 * no clock.
 */
#ifndef COMETSPINDLE_GATEWAY_READER_ELECTION_H
#define COMETSPINDLE_GATEWAY_READER_ELECTION_H

#include <libcometspindle/gateway/directory.h>
#include <stdbool.h>
#include <stdint.h>

/** Report of a reader about its progress. */
struct comet_reader_report
{
	uint32_t vm;
	uint64_t position; /**< position up to which its endpoints are complete */
	uint64_t complete; /**< position up to which all its data is complete */
	uint64_t age_us;   /**< time since the directory last answered the reader */
};

/** What this VM knows about itself and its zone. */
struct comet_reader_election_state
{
	bool has_list;      /**< it has read the directory once */
	bool leaving;       /**< it is stopping */
	uint32_t zone_vms;  /**< alive VMs in its zone, including itself */
	uint32_t preferred; /**< those of them that are preferred as readers */
	uint64_t position;  /**< position up to which its endpoints are complete */
	uint64_t age_us;    /**< time since the start of its process */
	bool alone;         /**< it knows no other VM, nor the address of one */
};

struct comet_reader_election;

/** followed_us: time for which a report is fresh after the directory's response. seed: seeds the
 * jitter and must differ between VMs. */
struct comet_reader_election *
comet_reader_election_create(void *parent, uint64_t followed_us, uint64_t seed);

/** Stores a report of a reader in this zone. */
void
comet_reader_election_report(struct comet_reader_election *reader_election,
	const struct comet_reader_report *report, uint64_t now_us);

/** Records that a reader did not provide what it had reported. */
void
comet_reader_election_report_failure(
	struct comet_reader_election *reader_election, uint64_t now_us);

/** @return how this VM reads the directory; call this several times a second. */
enum comet_directory_mode
comet_reader_election_decide(struct comet_reader_election *reader_election,
	const struct comet_reader_election_state *state, uint64_t now_us);

/** @return the fresh reader whose endpoints are furthest ahead of `position`, or 0. */
uint32_t
comet_reader_election_find_ahead(
	const struct comet_reader_election *reader_election, uint64_t position, uint64_t now_us);

/** @return a fresh reader whose data is complete beyond `position`, or 0. */
uint32_t
comet_reader_election_find_complete(
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
