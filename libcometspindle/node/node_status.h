/*
 * node_status.h
 * what one VM tells operators about itself
 */
#ifndef COMETSPINDLE_NODE_STATUS_H
#define COMETSPINDLE_NODE_STATUS_H

#include <libcometspindle/node/node.h>

/** One JSON object for operators: version, members, roles, queues. Caller frees with g_free. */
char *
comet_node_status(struct comet_node *node);

#endif
