/*
 * discovery.c
 * decides whether a VM that has started is still discovering the other VMs
 */
#include <libcometspindle/gateway/fleet/discovery.h>

#include <glib.h>

/* After the start, discovery is complete once no further VM has appeared for the quiet time and for
 * two gossip rounds, and at the latest after DISCOVERY_MAX_US. */
#define DISCOVERY_QUIET_US 200000
#define DISCOVERY_QUIET_ROUNDS 2
#define DISCOVERY_MAX_US 4000000

/* A VM that has received no gossip message from any known VM keeps discovering, since its seeds may
 * only be late: when it took itself for the only VM, it spent the complete limit of each team
 * alone. */
void
comet_discovery_update(struct comet_discovery *discovery, uint32_t alive, uint32_t known,
	uint64_t interval_us, uint64_t now_us)
{
	if (alive > discovery->peak_alive)
	{
		discovery->peak_alive = alive;
		discovery->discovered_us = alive > 1 ? now_us : 0;
	}
	uint64_t last_us = MAX(discovery->discovered_us, discovery->began_us);
	uint64_t quiet_us = MAX(DISCOVERY_QUIET_US, DISCOVERY_QUIET_ROUNDS * interval_us);
	bool unheard = alive < known && discovery->discovered_us == 0;
	discovery->active = (now_us - last_us < quiet_us || unheard) &&
			    now_us - discovery->began_us < DISCOVERY_MAX_US;
}
