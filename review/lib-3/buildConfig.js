/**
 * Builds a desired state with the routes `/lookup/` (safe) and `/order/` (unsafe) of the service
 * `orders`.
 */
export function buildConfig(version, { routes = [], services = [], route = {}, cold = {} } = {}) {
  const common = {
    host: 'app.example',
    service: 'orders',
    target_latency_ms: 500,
    timeout_ms: 5000,
    priority: 2,
    ...route,
  };
  return {
    version,
    routes: [
      { ...common, name: 'lookup', prefix: '/lookup/', kind: 'safe', max_attempts: 2 },
      { ...common, name: 'order', prefix: '/order/', kind: 'unsafe', max_attempts: 2 },
      ...routes,
    ],
    services: [
      {
        name: 'orders',
        health_path: '/health',
        max_conns: 110,
        cold_per_s: 0,
        cold_s: 0,
        ...cold,
      },
      ...services,
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 5000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'tenant-1', api_keys: ['key-1'] }],
  };
}
