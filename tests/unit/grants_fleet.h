/*
 * grants_fleet.h
 * simulates several VMs with placement, gossip and grants in virtual time
 *
 * The VMs are connected in the same way as the gateway connects these modules. Datagrams are queued
 * until a test delivers them, so a test can lose or reorder them.
 */
#ifndef COMETSPINDLE_TESTS_GRANTS_FLEET_H
#define COMETSPINDLE_TESTS_GRANTS_FLEET_H

#include "team_table.h"
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/gateway/admission/returning_callers.h>
#include <libcometspindle/gateway/placement/grants.h>
#include <libcometspindle/gateway/placement/placement.h>
#include <libcometspindle/gateway/fleet/discovery.h>
#include <libcometspindle/gateway/fleet/gossip.h>
#include <libcometspindle/hash.h>
}
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <talloc.h>
#include <vector>

namespace grants_fleet
{

constexpr uint32_t slots = 4;

/* Size of a fleet. VM a is in availability zone a % zones and endpoint i in zone i % zones, so that
 * neighbouring numbers are in different zones. */
struct fleet_shape
{
	uint32_t zones = 1;
	uint32_t slots = grants_fleet::slots;
	bool returning_callers = true; /* the setting of this name */
	bool prefer_own_zone = true;   /* the same; it has no effect within one zone */
};

struct fleet;

/* The modules of one VM and the callbacks between them. */
struct vm
{
	fleet *parent = nullptr;
	uint32_t address = 0;
	comet_instances *instances = nullptr;
	comet_rate_limiter *rate_limiter = nullptr;
	comet_placement *placement = nullptr;
	comet_gossip *gossip = nullptr;
	comet_grants *grants = nullptr;
	comet_discovery discovery = {};
	comet_returning_callers *callers = nullptr;
	std::map<comet_placement_item *, uint64_t> digests; /* of requests that may return */
	std::map<comet_placement_item *, std::string> sent; /* running item -> endpoint */
	std::map<comet_placement_item *, int> dispatches;   /* total count per item */
	std::set<comet_placement_item *> refused;
	std::map<comet_placement_item *, uint32_t> retry_after_ms; /* of refused items */
	std::map<comet_return_lookup, uint32_t> lookups;           /* ended, by result */

	/* Returns the owner of a shard: the VM that rendezvous hashing selects among those that are
	 * not unresponsive. Returns 0 when there is none. */
	uint32_t
	find_owner(const comet_shard *shard, uint64_t now_us) const
	{
		struct query
		{
			const comet_grants *grants;
			uint64_t now_us;
		} query = {grants, now_us};
		auto is_unresponsive = [](const void *ctx, uint32_t vm)
		{
			const auto *query_ctx = static_cast<const struct query *>(ctx);
			return comet_grants_is_unresponsive(
				query_ctx->grants, vm, query_ctx->now_us);
		};
		return comet_gossip_find_responsive_owner(
			gossip, shard->id, shard->zone_id, is_unresponsive, &query, now_us);
	}

	/* Returns the VM that stores the refusals of a digest. */
	uint32_t
	find_digest_owner(uint64_t digest, uint64_t now_us) const
	{
		struct query
		{
			const comet_returning_callers *callers;
			uint64_t now_us;
		} query = {callers, now_us};
		auto is_unresponsive = [](const void *ctx, uint32_t vm)
		{
			const auto *query_ctx = static_cast<const struct query *>(ctx);
			return comet_returning_callers_is_unresponsive(
				query_ctx->callers, vm, query_ctx->now_us);
		};
		return comet_gossip_find_responsive_owner(gossip,
			comet_returning_callers_owner_key(digest), 0, is_unresponsive, &query,
			now_us);
	}
};

struct mail
{
	uint32_t from;
	uint32_t to;
	std::string bytes;
};

struct fleet
{
	std::map<uint32_t, vm> vms;
	std::deque<mail> in_flight;
	std::function<bool(const mail &)> lost = [](const mail &) { return false; };
	std::function<void(mail &)> on_mail = [](mail &) {}; /* may change a datagram */
	std::vector<std::unique_ptr<comet_placement_item>> items;
	std::map<std::string, std::vector<uint64_t>> sends; /* endpoint -> dispatch times */
	std::map<comet_placement_item *, uint64_t> sent_us; /* time of the last dispatch */
	comet_route_table *table = nullptr;                 /* contains one team, "t" */
	uint64_t now_us = 0;
	bool asks = true; /* whether VMs request slots from owners; false: gossip alone */
	fleet_shape shape;

	fleet(uint32_t count, int endpoints, const fleet_shape &wanted = {}) : shape(wanted)
	{
		table = create_single_team_table();
		for (uint32_t i = 1; i <= count; i++)
			start(i, endpoints);
		pass(4000000); /* until the VMs know each other and are old enough to own shards */
	}

	~fleet()
	{
		for (auto &one : vms)
			talloc_free(one.second.instances);
		comet_route_table_unref(table);
	}

	/* Returns the zone of the VM or endpoint with this number. */
	std::string
	zone_of(uint32_t number) const
	{
		return shape.zones == 1 ? "z" : "z" + std::to_string(number % shape.zones);
	}

	void
	start(uint32_t address, int endpoints, uint32_t cpu_percent = 100)
	{
		const std::string zone = zone_of(address);
		static const uint32_t seeds[] = {1};
		static const comet_gossip_ops gossip_ops = {on_send, on_changed};
		static const comet_placement_ops all_ops = {on_dispatch, on_refuse, on_find_owner,
			on_request, on_cancel, on_grant, on_count_preferred, on_find_caller};
		static const comet_placement_ops ops_without_returns = {on_dispatch, on_refuse,
			on_find_owner, on_request, on_cancel, on_grant, on_count_preferred,
			nullptr};
		static const comet_returning_callers_ops callers_ops = {
			on_send, on_lookup_ended, on_record_dropped};
		static const comet_grants_ops grants_ops = {on_send, on_granted, on_denied,
			on_waits, on_waited, on_unanswered, on_pick, on_released, on_return_time};
		comet_rate_limiter_config bounds = {8000, 0, 0};
		vm &one = vms[address];

		one.parent = this;
		one.discovery.began_us = now_us;
		one.address = address;
		one.instances = comet_instances_create(nullptr, zone.c_str());
		one.rate_limiter = comet_rate_limiter_create(one.instances, &bounds, now_us);
		comet_rate_limiter_set_teams(one.rate_limiter, table, now_us);
		for (int i = 0; i < endpoints; i++)
		{
			std::string id = "i" + std::to_string(i);
			const std::string at = zone_of((uint32_t)i);
			comet_instance_record record = {id.c_str(), "llm", "127.0.0.1:1",
				at.c_str(), shape.slots, 0, false, 0, "v1"};
			comet_instances_update(one.instances, &record, now_us);
		}
		comet_gossip_config config = {address, address + now_us, now_us, 8000, seeds, 1,
			zone.c_str(), 100000, 100000, cpu_percent, nullptr, nullptr};
		one.gossip = comet_gossip_create(
			one.instances, &config, one.instances, one.rate_limiter, &gossip_ops, &one);
		one.placement = comet_placement_create(one.instances, one.instances,
			shape.returning_callers ? &all_ops : &ops_without_returns, &one, address);
		if (shape.zones > 1 && shape.prefer_own_zone)
			comet_placement_prefer_own_zone(one.placement);
		one.grants = comet_grants_create(one.instances, address, &grants_ops, &one);
		one.callers =
			comet_returning_callers_create(one.instances, address, &callers_ops, &one);
	}

	/* Ends a process without notice. Its endpoints finish the requests that it sent. */
	void
	kill(uint32_t address)
	{
		talloc_free(vms[address].instances);
		vms.erase(address);
	}

	static void
	on_send(void *ctx, uint32_t address, const uint8_t *data, size_t length)
	{
		auto *one = static_cast<vm *>(ctx);
		one->parent->in_flight.push_back(
			{one->address, address, std::string((const char *)data, length)});
	}

	static void
	on_changed(void *, uint32_t, bool, const char *)
	{
	}

	static void
	on_dispatch(void *ctx, comet_placement_item *item, comet_instance *instance)
	{
		auto *one = static_cast<vm *>(ctx);
		comet_instance_dispatch_started(instance, &item->size);
		one->sent[item] = instance->id;
		one->dispatches[item]++;
		one->parent->sends[instance->id].push_back(one->parent->now_us);
		one->parent->sent_us[item] = one->parent->now_us;
	}

	static void
	on_refuse(void *ctx, comet_placement_item *item, uint32_t retry_after_ms)
	{
		auto *one = static_cast<vm *>(ctx);
		one->refused.insert(item);
		one->retry_after_ms[item] = retry_after_ms;
		comet_returning_callers_cancel(one->callers, item);
		if (!item->return_expected || one->digests.count(item) == 0)
			return;
		uint64_t now_us = one->parent->now_us;
		uint64_t left_us = item->answer_deadline_us - now_us;
		comet_refused_caller refused = {one->digests[item],
			std::min<uint64_t>(retry_after_ms * 1000ULL, left_us / 3), left_us,
			now_us - item->arrived_us};
		comet_returning_callers_record(one->callers,
			one->find_digest_owner(refused.digest, now_us), &refused, now_us);
	}

	static comet_placement_caller
	on_find_caller(void *ctx, comet_placement_item *item)
	{
		auto *one = static_cast<vm *>(ctx);
		uint64_t now_us = one->parent->now_us;
		if (one->digests.count(item) == 0)
			return COMET_PLACEMENT_CALLER_NEW;
		uint64_t digest = one->digests[item];
		comet_return_lookup result = comet_returning_callers_look_up(one->callers, item,
			one->find_digest_owner(digest, now_us), digest, now_us,
			&item->caller_age_us);
		if (result == COMET_RETURN_PENDING)
			return COMET_PLACEMENT_CALLER_PENDING;
		return result == COMET_RETURN_RETURNED ? COMET_PLACEMENT_CALLER_RETURNED
						       : COMET_PLACEMENT_CALLER_NEW;
	}

	static void
	on_lookup_ended(void *ctx, void *user_data, uint32_t, comet_return_lookup result, uint64_t,
		uint64_t caller_age_us)
	{
		auto *one = static_cast<vm *>(ctx);
		auto *item = static_cast<comet_placement_item *>(user_data);
		item->caller_age_us = caller_age_us;
		one->lookups[result]++;
		comet_placement_set_caller(
			one->placement, item, result == COMET_RETURN_RETURNED, one->parent->now_us);
	}

	static void
	on_record_dropped(void *, uint64_t)
	{
	}

	static void
	on_return_time(void *ctx, comet_placement_item *item, uint64_t return_us)
	{
		auto *one = static_cast<vm *>(ctx);
		comet_placement_set_return_time(
			one->placement, item, return_us, one->parent->now_us);
	}

	static comet_placement_owner
	on_find_owner(void *ctx, comet_shard *shard)
	{
		auto *one = static_cast<vm *>(ctx);
		uint64_t now_us = one->parent->now_us;
		if (!one->parent->asks)
			return COMET_PLACEMENT_OWNER_NONE;
		uint32_t owner = one->find_owner(shard, now_us);
		if (owner == one->address)
			return COMET_PLACEMENT_OWNER_SELF;
		return owner != 0 ? COMET_PLACEMENT_OWNER_OTHER : COMET_PLACEMENT_OWNER_NONE;
	}

	static void
	on_request(void *ctx, comet_placement_item *item, comet_shard *shard,
		const comet_slot_request *request)
	{
		auto *one = static_cast<vm *>(ctx);
		uint64_t now_us = one->parent->now_us;
		comet_grants_request(
			one->grants, item, one->find_owner(shard, now_us), request, now_us);
	}

	static uint32_t
	on_count_preferred(void *ctx, const comet_shard *shard)
	{
		auto *one = static_cast<vm *>(ctx);
		return comet_gossip_count_preferred(
			one->gossip, shard->id, shard->zone_id, one->parent->now_us);
	}

	static void
	on_cancel(void *ctx, comet_placement_item *item)
	{
		comet_grants_cancel(static_cast<vm *>(ctx)->grants, item);
	}

	static void
	on_granted(void *ctx, comet_placement_item *item, const comet_slot_grant *grant)
	{
		auto *one = static_cast<vm *>(ctx);
		if (!comet_placement_granted(one->placement, item, grant, one->parent->now_us))
			comet_grants_release(
				one->grants, grant->owner_vm, grant->instance_key, nullptr);
		comet_placement_run(one->placement, one->parent->now_us);
	}

	static void
	on_denied(void *ctx, comet_placement_item *item, uint32_t shard, uint32_t queue_limit)
	{
		auto *one = static_cast<vm *>(ctx);
		comet_placement_denied(
			one->placement, item, shard, queue_limit, one->parent->now_us);
		comet_placement_run(one->placement, one->parent->now_us);
	}

	static void
	on_waits(void *ctx, comet_placement_item *item, uint64_t expected_us)
	{
		auto *one = static_cast<vm *>(ctx);
		comet_placement_set_expected_wait(
			one->placement, item, expected_us, one->parent->now_us);
	}

	static void
	on_waited(void *ctx, comet_placement_item *item)
	{
		auto *one = static_cast<vm *>(ctx);
		comet_placement_wait_expired(one->placement, item, one->parent->now_us);
		comet_placement_run(one->placement, one->parent->now_us);
	}

	static void
	on_grant(void *ctx, const comet_slot_request *request, comet_instance *instance)
	{
		auto *one = static_cast<vm *>(ctx);
		comet_gossip_slot_granted(one->gossip, request->requester, instance->key,
			request->size.prompt_tokens, one->parent->now_us);
		comet_grants_grant(one->grants, request->requester, request->number, instance);
	}

	static void
	on_unanswered(void *ctx, comet_placement_item *item, uint32_t)
	{
		auto *one = static_cast<vm *>(ctx);
		comet_placement_unanswered(one->placement, item, one->parent->now_us);
	}

	static const comet_instance *
	on_pick(void *ctx, const comet_SlotAsk *request, comet_placement_wait_estimate *wait)
	{
		auto *one = static_cast<vm *>(ctx);
		uint64_t now_us = one->parent->now_us;
		comet_slot_request slot_request = {};
		slot_request.requester = request->asker;
		slot_request.number = request->number;
		slot_request.shard = request->shard;
		slot_request.queue_limit = request->beyond;
		slot_request.excluded = request->except;
		slot_request.n_excluded = request->except_count;
		slot_request.size = {
			request->prompt_tokens, request->output_tokens, 0, !request->plain};
		slot_request.team_rank = request->team_rank;
		slot_request.route_rank = request->route_rank;
		slot_request.late = request->late;
		slot_request.returned = request->returned;
		slot_request.waited_us = (uint64_t)request->waited_ms * 1000;
		slot_request.delay_known = request->order_ms > 0;
		slot_request.delay_us =
			request->order_ms > 0 ? (uint64_t)(request->order_ms - 1) * 1000 : 0;
		slot_request.soft_deadline_us =
			request->aim_ms > 0 ? now_us + request->aim_ms * 1000 : 0;
		slot_request.wait_us = request->wait_ms * 1000;
		comet_instance *instance =
			comet_placement_pick_remote(one->placement, &slot_request, now_us, wait);
		if (instance != nullptr)
			comet_gossip_slot_granted(one->gossip, request->asker, instance->key,
				request->prompt_tokens, now_us);
		return instance;
	}

	static void
	on_released(void *ctx, const comet_SlotFreed *freed)
	{
		auto *one = static_cast<vm *>(ctx);
		comet_instance *instance =
			comet_instances_find_key(one->instances, freed->instance);
		if (instance != nullptr)
			comet_grants_learn_speed(instance, freed, one->parent->now_us);
		if (freed->still_running)
			return;
		comet_gossip_slot_released(one->gossip, freed->asker, freed->instance);
		if (instance != nullptr)
		{
			comet_instance_remote_result(
				instance, comet_grants_result(freed->result), one->parent->now_us);
		}
		comet_placement_run(one->placement, one->parent->now_us);
	}

	/* Delivers all queued datagrams, including those that are sent in reply. */
	void
	deliver()
	{
		while (!in_flight.empty())
		{
			mail one = in_flight.front();
			in_flight.pop_front();
			on_mail(one);
			if (!lost(one))
				receive(one);
		}
	}

	/* Passes a datagram to its receiver; does nothing when the VM does not exist. */
	void
	receive(const mail &one)
	{
		comet_Datagram datagram;

		if (vms.count(one.to) == 0)
			return;
		ASSERT_TRUE(comet_datagram_decode(
			(const uint8_t *)one.bytes.data(), one.bytes.size(), &datagram));
		vm &to = vms[one.to];
		if (datagram.which_body == comet_Datagram_view_tag)
		{
			EXPECT_TRUE(comet_gossip_receive(to.gossip, &datagram.body.view, now_us));
		}
		else if (!comet_returning_callers_receive(to.callers, &datagram, now_us))
			comet_grants_receive(to.grants, &datagram, now_us);
	}

	/* Sets the numbers of VMs among which a VM divides shared limits, as the gateway does. */
	void
	set_vms(vm &one) const
	{
		uint32_t known = 0;
		uint32_t alive = 0;

		comet_gossip_count_peers(one.gossip, &known, &alive);
		known++;
		alive++;
		comet_discovery_update(
			&one.discovery, alive, known, comet_gossip_interval_us(one.gossip), now_us);
		comet_cold_vms vms;
		comet_gossip_observe_vms(one.gossip, &vms, now_us);
		vms.discovering = vms.discovering || one.discovery.active;
		comet_placement_update_cold_shares(one.placement, &vms, now_us);
		if (one.discovery.active)
			alive = known = std::max<uint32_t>(known, COMET_DISCOVERY_ASSUMED_VMS);
		comet_placement_set_vms(one.placement, alive, known);
	}

	/* Advances the clock in steps of 10 ms, and delivers the datagrams of each step. */
	void
	pass(uint64_t us)
	{
		for (uint64_t end_us = now_us + us; now_us < end_us;)
		{
			now_us += 10000;
			for (auto &one : vms)
			{
				comet_grants_tick(one.second.grants, now_us);
				comet_returning_callers_tick(one.second.callers, now_us);
				comet_gossip_tick(one.second.gossip, now_us);
				set_vms(one.second);
				comet_placement_run(one.second.placement, now_us);
			}
			deliver();
		}
	}

	/* Submits an item that the test owns. digest: its fingerprint. */
	void
	submit_item(uint32_t address, comet_placement_item *item, uint64_t digest)
	{
		vms[address].digests[item] = digest;
		comet_placement_submit(vms[address].placement, item, now_us);
	}

	/* Submits a request at a VM. A plain request is not streamed. */
	comet_placement_item *
	submit(uint32_t address, uint32_t rank = 2, uint64_t soft_deadline_us = 0,
		bool plain = false, uint32_t version_id = 0)
	{
		auto item = std::make_unique<comet_placement_item>();
		item->service = "llm";
		item->size = {1000, 100, 100, true};
		if (plain)
			item->size = {0, 0, 0, false};
		item->route_rank = rank;
		item->version_id = version_id;
		item->dispatch_deadline_us = now_us + 30000000;
		item->early_refusal_us = now_us + 100000;
		item->soft_deadline_us = soft_deadline_us != 0 ? now_us + soft_deadline_us : 0;
		comet_placement_submit(vms[address].placement, item.get(), now_us);
		items.push_back(std::move(item));
		return items.back().get();
	}

	/* Ends a dispatched request at its endpoint and releases its slot. */
	void
	end(uint32_t address, comet_placement_item *item, uint32_t events = 0,
		uint64_t stream_us = 0, comet_dispatch_result result = COMET_DISPATCH_CANCELLED)
	{
		vm &one = vms[address];
		comet_instance *instance =
			comet_instances_find(one.instances, one.sent[item].c_str());
		comet_instance_dispatch_ended(
			instance, &item->size, false, result, 0, 0, 0, now_us);
		comet_placement_slot_released(one.placement, instance);
		if (item->owner_vm != 0)
		{
			comet_grants_completion completion = {
				result, item->size.stream, events, stream_us, false, 0, 0, 0, 0};
			comet_grants_release(
				one.grants, item->owner_vm, instance->key, &completion);
		}
		item->owner_vm = 0;
		one.sent.erase(item);
		comet_placement_run(one.placement, now_us);
	}

	/* Returns the number of running requests per endpoint. */
	std::map<std::string, uint32_t>
	running()
	{
		std::map<std::string, uint32_t> sum;
		for (auto &one : vms)
			for (auto &sent : one.second.sent)
				sum[sent.second]++;
		return sum;
	}

	/* Returns the largest number of running requests at one endpoint. */
	uint32_t
	most_at_one()
	{
		uint32_t most = 0;
		for (auto &one : running())
			most = std::max(most, one.second);
		return most;
	}

	uint32_t
	total()
	{
		uint32_t sum = 0;
		for (auto &one : running())
			sum += one.second;
		return sum;
	}

	/* Returns the owner of the shard of endpoint i0, as the VM observer sees it. */
	uint32_t
	owner_of(uint32_t observer)
	{
		comet_instance *any = comet_instances_find(vms[observer].instances, "i0");
		comet_shards *shards = comet_shards_create(nullptr, vms[observer].instances);
		comet_shards_for_service(shards, "llm");
		uint32_t owner = comet_gossip_find_owner(
			vms[observer].gossip, any->shard, comet_hash_name(any->zone), now_us);
		talloc_free(shards);
		return owner;
	}
};

} // namespace grants_fleet

#endif
