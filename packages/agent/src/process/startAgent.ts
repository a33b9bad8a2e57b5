import { setTimeout as sleep } from 'node:timers/promises';
import { ClaimLedger, TargetAdmission, type Clock, type RandomSource } from '@limpetbay/core';
import { EtcdStore, InstanceListClient } from '@limpetbay/platform';
import {
  ConfigService,
  createConfigSource,
  createDispatchService,
  createGroupService,
  createOwnerView,
  dispatchService,
  groupService,
  openServer,
  type RunningServer,
} from '@limpetbay/rpc';
import {
  MetricRegistry,
  createAddressBinder,
  createLog,
  startMetricsServer,
  waitUntil,
  type RunningProcess,
  type SupervisedProcess,
} from '@limpetbay/runtime';
import { EngineClient, HttpTarget } from '@limpetbay/targets';
import { GroupRunner } from '../group/GroupRunner.js';
import { Agent } from '../loop/Agent.js';
import type { AgentSettings } from '../settings/AgentSettings.js';

/** Maximum wait for writing the last outcomes to the store before the agent stops. */
const MAX_FLUSH_MS = 2000;

/**
 * Starts an agent from its settings. An address that is in use is tried again until it is bound.
 *
 * @param signal aborts the wait for the address
 * @throws if it cannot listen on one of its addresses, or the wait was aborted
 */
export async function startAgent(
  settings: AgentSettings,
  clock: Clock,
  random: RandomSource,
  metrics = new MetricRegistry(),
  signal: AbortSignal = new AbortController().signal,
): Promise<RunningProcess & SupervisedProcess<AgentSettings>> {
  const { agent: identity, platform } = settings;
  let { timing } = settings;
  const logOptions = settings.log;
  const log = createLog(`agent ${identity.id}`, logOptions);
  const store = new EtcdStore({ address: platform.store, clock });
  const instanceList = new InstanceListClient({ url: platform.instances });
  const binder = createAddressBinder(clock, log, metrics);
  signal.addEventListener('abort', () => binder.close());
  let server!: RunningServer;
  await binder.bindAndWait({
    name: 'peers',
    address: identity.address,
    bind: async () => {
      server = await openServer(identity.address);
    },
  });
  const config = new ConfigService({
    store,
    instanceList,
    self: {
      id: identity.id,
      role: 'agent',
      zone: identity.zone,
      address: server.address,
      target: identity.target,
      state: 'live',
    },
    clock,
    random,
    server: server.server,
    log: createLog(`config ${identity.id}`, logOptions),
  });
  const admission = new TargetAdmission({ clock, target: identity.target });
  admission.setZone(identity.zone);
  const ledger = new ClaimLedger({
    store,
    clock,
    random,
    service: identity.service,
    owner: { instance: identity.id, incarnation: admission.getIncarnation() },
    owners: createOwnerView(config),
    writesPerSecond: settings.claims.writes_per_second,
  });
  const target = new HttpTarget(identity.target_origin);
  const engine = identity.kind === 'model' ? new EngineClient(identity.target_origin) : null;
  const configSource = createConfigSource(config);
  const agent = new Agent({
    clock,
    service: identity.service,
    config: configSource,
    admission,
    ledger,
    target,
    engine,
    log,
    metrics,
    timing: {
      tickMs: timing.tick_ms,
      progressMs: timing.progress_ms,
      enginePollMs: timing.engine_poll_ms,
      engineTimeoutMs: timing.engine_silence_ms,
    },
  });
  server.server.addService(dispatchService, createDispatchService(agent));
  const groupRunner =
    engine === null || settings.experts.experts === 0
      ? null
      : new GroupRunner({
          id: identity.id,
          service: identity.service,
          target: identity.target,
          clock,
          store,
          config: configSource,
          engine,
          settings: settings.experts,
          getIncarnation: () => admission.getIncarnation(),
          log: createLog(`group ${identity.id}`, logOptions),
          metrics,
        });
  const findHandler = (group: string, rank: number) =>
    groupRunner?.findHandler(group, rank) ?? null;
  server.server.addService(groupService, createGroupService(findHandler));
  const metricsServer =
    identity.metrics_port === 0
      ? null
      : await startMetricsServer(
          binder,
          identity.address.slice(0, identity.address.lastIndexOf(':')),
          identity.metrics_port,
          metrics,
          () => agent.describeHealth(),
        );
  config.start();
  log.report('started', { address: server.address, target: identity.target, zone: identity.zone });
  const close = (): void => {
    binder.close();
    metricsServer?.close();
    groupRunner?.stop();
    agent.stop();
    config.stop();
    server.close();
    store.close();
    void target.close();
    void engine?.close();
    void instanceList.close();
  };
  return {
    address: server.address,
    kill: close,
    applySettings: (changed) => {
      timing = changed.timing;
    },
    stop: async () => {
      config.setLeaving();
      agent.startLeaving();
      await sleep(timing.leave_ms);
      // Requests in progress may run until their deadlines, even if the grace period is shorter.
      const graceMs = Math.max(timing.stop_grace_ms, agent.getLongestDeadlineMs());
      const isDone = await waitUntil(() => agent.countRuns() === 0, graceMs);
      if (!isDone) log.warn('stopped with requests in progress', { count: agent.countRuns() });
      await groupRunner?.release();
      await sleep(Math.min(MAX_FLUSH_MS, timing.leave_ms));
      log.report('stopped');
      close();
    },
  };
}
