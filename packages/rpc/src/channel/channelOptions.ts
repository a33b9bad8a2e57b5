import type { ChannelOptions } from '@grpc/grpc-js';

const KEEPALIVE_MS = 4000;
const KEEPALIVE_TIMEOUT_MS = 2000;

/** gRPC channel options for connections between limpetbay processes. */
export const channelOptions: ChannelOptions = {
  // The entry decides on retries, because it knows whether a request may be repeated.
  'grpc.enable_retries': 0,
  // A replacement channel must open a new connection instead of sharing the stalled one.
  'grpc.use_local_subchannel_pool': 1,
  'grpc.keepalive_time_ms': KEEPALIVE_MS,
  'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
  // Detects an unresponsive connection while it is idle, before the next attempt uses it.
  'grpc.keepalive_permit_without_calls': 1,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 2000,
  'grpc.service_config_disable_resolution': 1,
  'grpc.max_receive_message_length': -1,
  'grpc.max_send_message_length': -1,
};
