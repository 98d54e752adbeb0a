/*
 * settings.h
 * the settings of one daemon, from JSON with comments
 */
#ifndef COMETSPINDLE_SETTINGS_H
#define COMETSPINDLE_SETTINGS_H

#include <glib.h>
#include <stdint.h>

struct comet_settings
{
	char *name;            /**< this VM's name in the platform's list */
	char *zone;            /**< its availability zone */
	char *listen_address;  /**< for callers, an IP number */
	uint16_t listen_port;  /**< 0: the kernel chooses */
	char *peer_endpoint;   /**< ZeroMQ address to bind, e.g. tcp://10.0.0.4:7400 */
	char *platform_url;    /**< base address of the platform's service */
	char *peer_key_file;   /**< CURVE secret key, Z85, shared by all VMs */
	char *bundle_key_file; /**< Ed25519 public key, hex, that bundles are signed under */
	char *policy;          /**< routing policy; "comet" unless comparing */
	uint32_t traffic_threads;
	int log_level;        /**< enum comet_log_level */
	uint32_t max_waiting; /**< requests that may wait at this VM */
	uint32_t max_body_bytes;
	uint32_t max_connections;
	uint32_t drain_max_s; /**< a stop waits so long for requests in flight */
	char *test_cut_file;  /**< for fault tests: names of VMs to be cut off from; "" */
};

/** Parses and checks settings; NULL and error with every fault. Free with talloc_free. */
struct comet_settings *
comet_settings_parse(const char *text, size_t length, GError **error) G_GNUC_WARN_UNUSED_RESULT;

/** Reads a file and parses it. */
struct comet_settings *
comet_settings_load(const char *path, GError **error) G_GNUC_WARN_UNUSED_RESULT;

#endif
