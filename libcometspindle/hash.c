/*
 * hash.c
 * short ids of names, and rendezvous hashing (xxhash underneath)
 */
#include <libcometspindle/hash.h>

#include <string.h>
#include <xxhash.h>

uint32_t
comet_hash_name(const char *name)
{
	uint32_t id = XXH32(name, strlen(name), 0);

	return id != 0 ? id : 1;
}

uint64_t
comet_hash_vm(const char *name)
{
	uint64_t id = XXH64(name, strlen(name), 0);

	return id != 0 ? id : 1;
}

uint64_t
comet_hash_bytes(const void *data, size_t length, uint64_t seed)
{
	return XXH64(data, length, seed);
}

uint64_t
comet_hash_score(uint64_t key, uint64_t vm_id)
{
	uint64_t pair[2] = {key, vm_id};

	return XXH64(pair, sizeof pair, 0);
}

int
comet_hash_compare_ids(const void *a, const void *b)
{
	uint64_t left = *(const uint64_t *)a;
	uint64_t right = *(const uint64_t *)b;

	return (left > right) - (left < right);
}
