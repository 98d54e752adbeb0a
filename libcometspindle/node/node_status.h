/*
 * node_status.h
 * Status of one VM, for operators.
 */
#ifndef COMETSPINDLE_NODE_STATUS_H
#define COMETSPINDLE_NODE_STATUS_H

#include <libcometspindle/node/node.h>

/** @return a JSON object with version, members, roles and queues. The caller frees it with
 * g_free(). */
char *
comet_node_status(struct comet_node *node);

#endif
