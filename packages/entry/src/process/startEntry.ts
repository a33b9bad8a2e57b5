import { setTimeout as sleep } from 'node:timers/promises';
import {
  RetryBudget,
  Router,
  WorkspaceLimiter,
  type Clock,
  type RandomSource,
} from '@limpetbay/core';
import { startCallerServer, type CallerServer } from '@limpetbay/callers';
import { EtcdStore, InstanceListClient } from '@limpetbay/platform';
import { ConfigService, createConfigSource, openServer, type RunningServer } from '@limpetbay/rpc';
import { MetricRegistry, createAddressBinder, createLog, waitUntil } from '@limpetbay/runtime';
import { ConnectionPool } from '../connections/ConnectionPool.js';
import { Entry } from '../loop/Entry.js';
import type { EntrySettings } from '../settings/EntrySettings.js';
import { resolveCallerUrl } from '../settings/resolveCallerUrl.js';
import type { RunningEntry } from './RunningEntry.js';

/** Time added to the callers' cache time of an address, for clock drift and slow callers. */
const ADDRESS_EXPIRY_MARGIN_MS = 1000;

/**
 * Starts an entry. An address that is in use is tried again until it is bound.
 *
 * @param signal aborts the wait for the addresses
 * @throws if it cannot listen on one of its addresses, or the wait was aborted
 */
export async function startEntry(
  settings: EntrySettings,
  clock: Clock,
  random: RandomSource,
  metrics = new MetricRegistry(),
  signal: AbortSignal = new AbortController().signal,
): Promise<RunningEntry> {
  const { entry: entrySettings, platform } = settings;
  let { timing } = settings;
  const log = createLog(`entry ${entrySettings.id}`, settings.log);
  const store = new EtcdStore({ address: platform.store, clock });
  const instanceList = new InstanceListClient({ url: platform.instances });
  const binder = createAddressBinder(clock, log, metrics);
  signal.addEventListener('abort', () => binder.close());
  let server!: RunningServer;
  await binder.bindAndWait({
    name: 'peers',
    address: entrySettings.address,
    bind: async () => {
      server = await openServer(entrySettings.address);
    },
  });
  const config = new ConfigService({
    store,
    instanceList,
    self: {
      id: entrySettings.id,
      role: 'entry',
      zone: entrySettings.zone,
      address: server.address,
      callerUrl: entrySettings.caller_url,
      state: 'live',
    },
    clock,
    random,
    server: server.server,
    log: createLog(`config ${entrySettings.id}`, settings.log),
  });
  const entry = new Entry({
    id: entrySettings.id,
    zone: entrySettings.zone,
    callerUrl: entrySettings.caller_url,
    clock,
    random,
    config: createConfigSource(config),
    router: new Router({ entry: entrySettings.id, zone: entrySettings.zone, clock, random }),
    budget: new RetryBudget(),
    limiter: new WorkspaceLimiter({ clock, random }),
    connectionPool: new ConnectionPool(),
    log,
    metrics,
    timing: {
      tickMs: timing.tick_ms,
      progressTimeoutMs: timing.silence_ms,
      addressTtlMs: timing.address_ttl_ms,
    },
  });
  let callers!: CallerServer;
  await binder.bindAndWait({
    name: 'callers',
    address: `${entrySettings.caller_host}:${entrySettings.caller_port}`,
    bind: async (onError) => {
      callers = await startCallerServer(entry, {
        host: entrySettings.caller_host,
        port: entrySettings.caller_port,
        maxBodyBytes: entrySettings.max_body_bytes,
        writeTimeoutMs: timing.write_timeout_ms,
        onError,
      });
    },
  });
  const callerUrl = resolveCallerUrl(entrySettings.caller_url, callers.url);
  entry.setCallerUrl(callerUrl);
  config.setCallerUrl(callerUrl);
  config.start();
  log.report('started', {
    address: server.address,
    callers: callers.url,
    zone: entrySettings.zone,
  });
  const close = (): void => {
    entry.stop();
    config.stop();
    callers.close();
    server.close();
    store.close();
    void instanceList.close();
  };
  // Until when callers may keep an address that they were told under earlier settings.
  let earlierExpiryMs = -Infinity;
  return {
    address: server.address,
    url: callers.url,
    kill: close,
    applySettings: (changed) => {
      earlierExpiryMs = Math.max(earlierExpiryMs, clock.getNow() + timing.address_ttl_ms);
      timing = changed.timing;
      entry.setAddressTtl(timing.address_ttl_ms);
    },
    stop: async () => {
      entry.startLeaving();
      config.setLeaving();
      // Callers may have cached this address just now, and use it until their cache time ends.
      const expiryMs = Math.max(timing.address_ttl_ms, earlierExpiryMs - clock.getNow());
      await sleep(expiryMs + ADDRESS_EXPIRY_MARGIN_MS);
      entry.stopAccepting();
      void callers.drain();
      // Every request may run until its deadline, even if that is after the grace period.
      const graceMs = Math.max(timing.stop_grace_ms, entry.getLongestTimeLeftMs());
      const isDone = await waitUntil(() => callers.countAnswers() === 0, graceMs);
      if (!isDone) log.warn('stopped with requests in progress', { count: callers.countAnswers() });
      log.report('stopped');
      close();
    },
  };
}
