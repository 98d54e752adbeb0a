/*
 * hash.h
 * short ids of names, and rendezvous hashing
 */
#ifndef COMETSPINDLE_HASH_H
#define COMETSPINDLE_HASH_H

#include <stddef.h>
#include <stdint.h>

/** 32-bit id of a team, model or endpoint name; 0 is never returned. */
uint32_t
comet_hash_name(const char *name);

/** 64-bit id of a VM name; 0 is never returned. */
uint64_t
comet_hash_vm(const char *name);

/** 64-bit hash of bytes under a seed. */
uint64_t
comet_hash_bytes(const void *data, size_t length, uint64_t seed);

/** Rendezvous score of a VM for a key: the highest score holds the role. */
uint64_t
comet_hash_score(uint64_t key, uint64_t vm_id);

/** Order of 64-bit ids, for qsort. */
int
comet_hash_compare_ids(const void *a, const void *b);

#endif
