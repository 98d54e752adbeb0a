/*
 * node_bundle.c
 * Verifies and installs configuration bundles, and fetches newer ones from peers.
 */
#include <libcometspindle/node/node_bundle.h>

#include <libcometspindle/error.h>
#include <libcometspindle/node/node_state.h>
#include <libcometspindle/sign.h>

/* Interval between requests for a newer bundle. A reply takes milliseconds, but may be lost. */
#define FETCH_INTERVAL_US 500000ULL

static void
bundle_install(struct comet_node *node, struct comet_bundle *bundle, GBytes *signed_document)
{
	uint64_t before = node->bundle != NULL ? node->bundle->version : 0;

	if (bundle->version <= before)
		comet_violation(
			"version_falls", "from=%" PRIu64 " to=%" PRIu64, before, bundle->version);
	comet_bundle_unref(node->bundle);
	node->bundle = bundle;
	if (node->signed_bundle != NULL)
		g_bytes_unref(node->signed_bundle);
	node->signed_bundle = g_bytes_ref(signed_document);
	comet_claims_set_limits(
		node->claims, bundle->limits.key_lifetime_s, bundle->limits.clock_skew_ms);
	if (before == 0)
		comet_load_shedding_init(&node->shedding, bundle->n_tiers);
	comet_log(COMET_LOG_NOTICE, "event=bundle_adopted version=%" PRIu64 " was=%" PRIu64,
		bundle->version, before);
	comet_node_assign_roles(node, comet_node_resend_requests);
	node->ops->adopted(node->ctx, bundle);
}

gboolean
comet_node_offer_bundle(
	struct comet_node *node, GBytes *signed_document, struct comet_time now, GError **error)
{
	const char *text = NULL;
	size_t length = 0;

	node->now = now;
	if (!comet_sign_open(signed_document, node->bundle_key, &text, &length, error))
		return FALSE;
	struct comet_bundle *bundle = comet_bundle_parse(text, length, error);
	if (bundle == NULL)
		return FALSE;
	if (node->bundle != NULL && bundle->version <= node->bundle->version)
	{
		g_set_error(error, COMET_ERROR, COMET_ERROR_STATE,
			"version: %" PRIu64 " is not newer than %" PRIu64 " in force",
			bundle->version, node->bundle->version);
		comet_bundle_unref(bundle);
		return FALSE;
	}
	if (node->bundle != NULL && bundle->n_tiers != node->bundle->n_tiers)
	{
		g_set_error(error, COMET_ERROR, COMET_ERROR_INVALID,
			"tiers: the number of tiers must stay %u while VMs run",
			node->bundle->n_tiers);
		comet_bundle_unref(bundle);
		return FALSE;
	}
	bundle_install(node, bundle, signed_document);
	return TRUE;
}

struct comet_bundle *
comet_node_bundle(const struct comet_node *node)
{
	return node->bundle;
}

/* Requests a bundle from the live peer that reports the newest version, if newer than ours. */
void
comet_node_fetch_bundle(struct comet_node *node)
{
	uint64_t have = node->bundle != NULL ? node->bundle->version : 0;
	size_t count = 0;
	struct comet_member *const *members = comet_membership_all(node->members, &count);
	struct comet_member *best = NULL;

	if (node->now.mono_us - node->bundle_requested_us < FETCH_INTERVAL_US)
		return;
	for (size_t i = 0; i < count; i++)
	{
		if (members[i]->state == COMET_MEMBER_ALIVE && members[i]->bundle_version > have &&
			(best == NULL || members[i]->bundle_version > best->bundle_version))
			best = members[i];
	}
	if (best == NULL)
		return;
	comet_Item item = {.which_body = comet_Item_bundle_ask_tag};
	item.body.bundle_ask.newer_than = have;
	comet_node_post(node, best->id, &item);
	node->bundle_requested_us = node->now.mono_us;
}
