/*
 * quota.h
 * team quotas across VMs: a home VM leases a team's budget out in parts
 *
 * The home of a team (rendezvous over the live VMs) has a token bucket that
 * starts empty. Its rate is the quota times the part of the listed VMs that
 * the home can hear, so two homes in two parts that lost each other hand out
 * no more than the quota together.
 */
#ifndef COMETSPINDLE_QUOTA_H
#define COMETSPINDLE_QUOTA_H

#include <libcometspindle/bundle.h>
#include <stdbool.h>
#include <stdint.h>

/** An amount of quota: both are spent by a request. */
struct comet_quota_amount
{
	uint32_t tokens;
	uint32_t requests;
};

/** How long a leased part may be spent. */
#define COMET_QUOTA_LEASE_MS 1000

struct comet_quota;

struct comet_quota *
comet_quota_create(void *parent);

/** At the home: refills by the clock and takes up to asked. */
struct comet_quota_amount
comet_quota_lease(struct comet_quota *quota, const struct comet_team *team,
	struct comet_quota_amount asked, uint32_t alive_vms, uint32_t listed_vms, uint64_t now_us);

/** At the holder: a leased part arrived. */
void
comet_quota_add(struct comet_quota *quota, uint32_t team_id, struct comet_quota_amount part,
	uint64_t now_us);

/** At the holder: spends amount if the leased parts have it. */
bool
comet_quota_spend(struct comet_quota *quota, const struct comet_team *team,
	struct comet_quota_amount amount, uint64_t now_us);

/** This VM's roles were lost (pause): buckets start empty again. */
void
comet_quota_reset(struct comet_quota *quota);

#endif
