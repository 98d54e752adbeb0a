/*
 * node_outbox.c
 * Collects items for other VMs into one packet per VM until the next flush.
 */
#include <libcometspindle/node/node_state.h>

static struct comet_outbox *
outbox_of(struct comet_node *node, uint64_t vm)
{
	struct comet_outbox *outbox = g_hash_table_lookup(node->outboxes, &vm);

	if (outbox == NULL)
	{
		outbox = g_new0(struct comet_outbox, 1);
		outbox->vm = vm;
		g_hash_table_insert(node->outboxes, &outbox->vm, outbox);
	}
	return outbox;
}

void
comet_node_send_outbox(struct comet_node *node, struct comet_outbox *outbox, GBytes *blob)
{
	node->counts.packets_sent++;
	node->counts.items_sent += outbox->packet.items_count;
	node->ops->send(node->ctx, outbox->vm, &outbox->packet, blob);
	outbox->packet.items_count = 0;
}

void
comet_node_post(struct comet_node *node, uint64_t vm, const comet_Item *item)
{
	node->pending = true;
	if (vm == node->self_id)
	{
		/* deferred to the next flush, because callers may be iterating over tables that the
		 * item would change */
		g_array_append_vals(node->local_items, item, 1);
		return;
	}
	struct comet_outbox *outbox = outbox_of(node, vm);
	if (outbox->packet.items_count == G_N_ELEMENTS(outbox->packet.items))
		comet_node_send_outbox(node, outbox, NULL);
	outbox->packet.items[outbox->packet.items_count++] = *item;
}

void
comet_node_fill_ping(struct comet_node *node, comet_Ping *ping)
{
	ping->bundle_version = node->bundle != NULL ? node->bundle->version : 0;
	ping->keep_below = node->shedding.keep_promised;
	ping->shed_from = node->shedding.shed_promised;
	ping->want_floor = node->shedding.want;
	comet_membership_fill(node->members, ping);
}
