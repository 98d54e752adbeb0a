/*
 * life_set.c
 * a small set of lives of endpoints' processes, which VMs join
 */
#include <libcometspindle/gateway/admission/life_set.h>

bool
comet_life_set_has(const struct comet_life_set *set, uint32_t life)
{
	for (uint32_t i = 0; i < set->count; i++)
	{
		if (set->lives[i] == life)
			return true;
	}
	return false;
}

bool
comet_life_set_add(struct comet_life_set *set, uint32_t life)
{
	uint32_t largest = 0;

	if (life == 0 || comet_life_set_has(set, life))
		return false;
	if (set->count < COMET_LIFE_SET_MAX)
	{
		set->lives[set->count++] = life;
		return true;
	}
	for (uint32_t i = 1; i < set->count; i++)
		largest = set->lives[i] > set->lives[largest] ? i : largest;
	if (life > set->lives[largest])
		return false;
	set->lives[largest] = life;
	return true;
}
