/*
 * incarnation_set.c
 * a small, bounded set of incarnations of endpoint processes, which VMs merge
 */
#include <libcometspindle/gateway/admission/incarnation_set.h>

bool
comet_incarnation_set_has(const struct comet_incarnation_set *set, uint32_t incarnation_key)
{
	for (uint32_t i = 0; i < set->count; i++)
	{
		if (set->incarnations[i] == incarnation_key)
			return true;
	}
	return false;
}

bool
comet_incarnation_set_has_dropped(const struct comet_incarnation_set *set, uint32_t incarnation_key)
{
	for (uint32_t i = 0; i < set->count; i++)
	{
		if (set->incarnations[i] >= incarnation_key)
			return false;
	}
	return set->count == COMET_INCARNATION_SET_MAX;
}

bool
comet_incarnation_set_add(struct comet_incarnation_set *set, uint32_t incarnation_key)
{
	uint32_t largest = 0;

	if (incarnation_key == 0 || comet_incarnation_set_has(set, incarnation_key))
		return false;
	if (set->count < COMET_INCARNATION_SET_MAX)
	{
		set->incarnations[set->count++] = incarnation_key;
		return true;
	}
	for (uint32_t i = 1; i < set->count; i++)
		largest = set->incarnations[i] > set->incarnations[largest] ? i : largest;
	if (incarnation_key > set->incarnations[largest])
		return false;
	set->incarnations[largest] = incarnation_key;
	return true;
}
