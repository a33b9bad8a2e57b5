import type { Clock } from '@limpetbay/core';
import type { Log } from '../log/Log.js';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import { createCollector } from '../process/createCollector.js';
import { InputLimits } from './InputLimits.js';

interface CreateOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: MetricRegistry;
  readonly maxBytes: number;
  readonly maxConnections?: number;
}

/** Interval between two log lines about closed connections, milliseconds. */
const LINE_INTERVAL_MS = 10_000;

/** Creates the limits of a process for the connections of its callers, with metrics and a log line. */
export function createInputLimits(options: CreateOptions): InputLimits {
  const { clock, log, metrics, ...limits } = options;
  let closedCount = 0;
  let lineMs = -Infinity;
  const inputs = new InputLimits({
    ...limits,
    clock,
    collectGarbage: createCollector(),
    onClosed: (server, cause) => {
      metrics.increase(`limpetbay_closed_inputs_total{server="${server}",cause="${cause}"}`);
      closedCount += 1;
      const nowMs = clock.getNow();
      if (nowMs - lineMs < LINE_INTERVAL_MS) return;
      lineMs = nowMs;
      const sentence = 'closed the costliest connections; callers hold too much';
      log.warn(sentence, { server, cause, connections: closedCount });
      closedCount = 0;
    },
  });
  metrics.register('limpetbay_open_input_bytes', () => inputs.countBytes());
  metrics.register('limpetbay_input_limit_bytes', () => inputs.getMaxBytes());
  metrics.register('limpetbay_open_service_connections', () => inputs.countConnections());
  return inputs;
}
