/**
 * Builds a desired state of a small deployment.
 *
 * @param changes fields of the document that it has instead
 */
export function buildConfig(version, changes = {}) {
  const route = {
    host: 'app.example',
    service: 'orders',
    timeout_ms: 1000,
    target_latency_ms: 400,
    priority: 2,
  };
  const stream = { timeout_ms: 8000, target_latency_ms: 500, gap_target_ms: 120, resumable: true };
  return {
    version,
    routes: [
      { ...route, name: 'lookup', prefix: '/lookup/', kind: 'safe', max_attempts: 2 },
      { ...route, name: 'order', prefix: '/order/', kind: 'unsafe', max_attempts: 1 },
      { ...route, ...stream, name: 'note', prefix: '/note/', kind: 'stream', max_attempts: 2 },
    ],
    services: [
      { name: 'orders', health_path: '/health', max_conns: 110, cold_per_s: 0, cold_s: 0 },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 5000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'tenant-1', api_keys: ['key-1', 'key-2'] }],
    ...changes,
  };
}
