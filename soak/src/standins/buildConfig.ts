/** Requests are answered well before this, so that a busy machine does not reach it. */
const ROUTE_TIMEOUT_MS = 6000;

const STREAM_TIMEOUT_MS = 12_000;

const MAX_BODY_BYTES = 8_388_608;

/** Performance model of the ranks beside the agents. */
const ENGINE = {
  capacity: 32,
  kv_capacity: 90_000,
  step_ms: 20,
  per_seq_ms: 1,
  context_per_k: 1,
  read_per_s: 20_000,
  chunk: 2048,
  stride: 4,
  link_mbps: 1000,
  usual: { prompt: 800, answer: 100 },
  sets: 2,
  experts: 8,
  places: 6,
  spare: 2,
  expert_mb: 1,
  expert_share: 0.5,
};

/**
 * Builds a configuration with the routes `/lookup/` (safe), `/order/` (unsafe), `/upload/` (unsafe
 * with a body), `/large/` (safe with a long answer) and `/note/` (stream).
 */
export function buildConfig(version: number): object {
  const common = { host: 'app.example', service: 'orders', target_latency_ms: 500, priority: 2 };
  const route = { ...common, timeout_ms: ROUTE_TIMEOUT_MS };
  const stream = { ...common, timeout_ms: STREAM_TIMEOUT_MS, gap_target_ms: 500, resumable: true };
  return {
    version,
    routes: [
      { ...route, name: 'lookup', prefix: '/lookup/', kind: 'safe', max_attempts: 2 },
      { ...route, name: 'order', prefix: '/order/', kind: 'unsafe', max_attempts: 1 },
      { ...route, name: 'upload', prefix: '/upload/', kind: 'unsafe', max_attempts: 1 },
      { ...route, name: 'large', prefix: '/large/', kind: 'safe', max_attempts: 2 },
      { ...stream, name: 'note', prefix: '/note/', kind: 'stream', max_attempts: 2 },
      { ...route, name: `added-${version}`, prefix: `/added-${version}/`, kind: 'safe' },
    ],
    services: [
      { name: 'orders', health_path: '/health', max_conns: 110, cold_per_s: 0, cold_s: 0 },
      { name: 'model', health_path: '/health', max_conns: 110, engine: ENGINE },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: MAX_BODY_BYTES,
      header_timeout_ms: 5000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'tenant-1', api_keys: ['key-1'] }],
  };
}
