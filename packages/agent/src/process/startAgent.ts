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
} from '@limpetbay/rpc';
import {
  MetricRegistry,
  createLog,
  startMetricsServer,
  waitUntil,
  type RunningProcess,
} from '@limpetbay/runtime';
import { EngineClient, HttpTarget } from '@limpetbay/targets';
import { GroupRunner } from '../group/GroupRunner.js';
import { Agent } from '../loop/Agent.js';
import type { AgentSettings } from '../settings/AgentSettings.js';

/** Time for writing the last outcomes to the store before an agent ends. */
const FLUSH_MS = 2000;

/** Starts an agent from its settings. */
export async function startAgent(
  settings: AgentSettings,
  clock: Clock,
  random: RandomSource,
): Promise<RunningProcess> {
  const { agent: own, platform, timing } = settings;
  const logOptions = settings.log;
  const log = createLog(`agent ${own.id}`, logOptions);
  const store = new EtcdStore({ address: platform.store, clock });
  const instanceList = new InstanceListClient({ url: platform.instances });
  const server = await openServer(own.address);
  const config = new ConfigService({
    store,
    instanceList,
    self: {
      id: own.id,
      role: 'agent',
      zone: own.zone,
      address: server.address,
      target: own.target,
      state: 'live',
    },
    clock,
    random,
    server: server.server,
    log: createLog(`config ${own.id}`, logOptions),
  });
  const metrics = new MetricRegistry();
  const admission = new TargetAdmission({ clock, target: own.target });
  admission.setZone(own.zone);
  const ledger = new ClaimLedger({
    store,
    clock,
    random,
    service: own.service,
    owner: { instance: own.id, incarnation: admission.getIncarnation() },
    owners: createOwnerView(config),
    writesPerSecond: settings.claims.writes_per_second,
  });
  const target = new HttpTarget(own.target_origin);
  const engine = own.kind === 'model' ? new EngineClient(own.target_origin) : null;
  const source = createConfigSource(config);
  const agent = new Agent({
    clock,
    service: own.service,
    config: source,
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
      engineSilenceMs: timing.engine_silence_ms,
    },
  });
  server.server.addService(dispatchService, createDispatchService(agent));
  const runner =
    engine === null || settings.experts.experts === 0
      ? null
      : new GroupRunner({
          id: own.id,
          service: own.service,
          target: own.target,
          clock,
          store,
          config: source,
          engine,
          settings: settings.experts,
          getIncarnation: () => admission.getIncarnation(),
          log: createLog(`group ${own.id}`, logOptions),
          metrics,
        });
  const findHandler = (group: string, rank: number) => runner?.findHandler(group, rank) ?? null;
  server.server.addService(groupService, createGroupService(findHandler));
  const metricsServer =
    own.metrics_port === 0
      ? null
      : await startMetricsServer(
          own.address.slice(0, own.address.lastIndexOf(':')),
          own.metrics_port,
          metrics,
          () => agent.describeHealth(),
        );
  config.start();
  log.report('started', { address: server.address, target: own.target, zone: own.zone });
  const close = (): void => {
    metricsServer?.close();
    runner?.stop();
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
    stop: async () => {
      config.setLeaving();
      agent.startLeaving();
      await sleep(timing.leave_ms);
      // No request is cut before its deadline, however short the grace is.
      const graceMs = Math.max(timing.stop_grace_ms, agent.getLongestDeadlineMs());
      const isDone = await waitUntil(() => agent.countRuns() === 0, graceMs);
      if (!isDone) log.warn('stopped with requests in progress', { count: agent.countRuns() });
      await runner?.release();
      await sleep(Math.min(FLUSH_MS, timing.leave_ms));
      log.report('stopped');
      close();
    },
  };
}
