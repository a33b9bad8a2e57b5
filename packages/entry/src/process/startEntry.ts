import { setTimeout as sleep } from 'node:timers/promises';
import {
  RetryBudget,
  Router,
  WorkspaceLimiter,
  type Clock,
  type RandomSource,
} from '@limpetbay/core';
import { startCallerServer } from '@limpetbay/callers';
import { EtcdStore, InstanceListClient } from '@limpetbay/platform';
import { ConfigService, createConfigSource, openServer } from '@limpetbay/rpc';
import { MetricRegistry, createLog, waitUntil } from '@limpetbay/runtime';
import { ChannelPool } from '../channels/ChannelPool.js';
import { Entry } from '../loop/Entry.js';
import type { EntrySettings } from '../settings/EntrySettings.js';
import type { RunningEntry } from './RunningEntry.js';

/** Slack beyond the time for which callers keep an address, for clocks and slow callers. */
const LEAVE_SLACK_MS = 1000;

/** Starts an entry from its settings. */
export async function startEntry(
  settings: EntrySettings,
  clock: Clock,
  random: RandomSource,
): Promise<RunningEntry> {
  const { entry: own, platform, timing } = settings;
  const log = createLog(`entry ${own.id}`, settings.log);
  const store = new EtcdStore({ address: platform.store, clock });
  const instanceList = new InstanceListClient({ url: platform.instances });
  const server = await openServer(own.address);
  const config = new ConfigService({
    store,
    instanceList,
    self: {
      id: own.id,
      role: 'entry',
      zone: own.zone,
      address: server.address,
      callerUrl: own.caller_url,
      state: 'live',
    },
    clock,
    random,
    server: server.server,
    log: createLog(`config ${own.id}`, settings.log),
  });
  const entry = new Entry({
    id: own.id,
    zone: own.zone,
    callerUrl: own.caller_url,
    clock,
    random,
    config: createConfigSource(config),
    router: new Router({ entry: own.id, zone: own.zone, clock, random }),
    budget: new RetryBudget(),
    limiter: new WorkspaceLimiter({ clock, random }),
    channels: new ChannelPool(),
    log,
    metrics: new MetricRegistry(),
    timing: {
      tickMs: timing.tick_ms,
      silenceMs: timing.silence_ms,
      addressTtlMs: timing.address_ttl_ms,
    },
  });
  const callers = await startCallerServer(entry, {
    host: own.caller_host,
    port: own.caller_port,
    maxBodyBytes: own.max_body_bytes,
    writeTimeoutMs: timing.write_timeout_ms,
  });
  config.start();
  log.report('started', { address: server.address, callers: callers.url, zone: own.zone });
  const close = (): void => {
    entry.stop();
    config.stop();
    callers.close();
    server.close();
    store.close();
    void instanceList.close();
  };
  return {
    address: server.address,
    url: callers.url,
    kill: close,
    stop: async () => {
      entry.startLeaving();
      config.setLeaving();
      // Callers that were given this address a moment ago go on using it for the full time.
      await sleep(timing.address_ttl_ms + LEAVE_SLACK_MS);
      void callers.drain();
      // No request is cut before its deadline, however short the grace is.
      const graceMs = Math.max(timing.stop_grace_ms, entry.getLongestDeadlineMs());
      const isDone = await waitUntil(() => entry.countRuns() === 0, graceMs);
      if (!isDone) log.warn('stopped with requests in progress', { count: entry.countRuns() });
      log.report('stopped');
      close();
    },
  };
}
