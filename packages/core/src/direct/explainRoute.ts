import type { RandomSource } from '../random/RandomSource.js';
import type { ErrorKind } from '../errors/ErrorKind.js';
import type { DirectRoute } from './DirectRoute.js';
import type { DirectService } from './DirectService.js';
import type { DirectTarget } from './DirectTarget.js';
import type { RouteExplanation } from './RouteExplanation.js';
import type { RouteQuery } from './RouteQuery.js';
import type { RouteTable } from './RouteTable.js';
import type { TargetHolds } from './TargetHolds.js';
import type { TargetPicker } from './TargetPicker.js';
import { chooseRetryAfter } from './chooseRetryAfter.js';
import { chooseStartWait } from './chooseStartWait.js';
import { explainPick } from './explainPick.js';

interface EntryState {
  readonly picker: TargetPicker;
  readonly holds: TargetHolds;
  readonly limits: { readonly getRetryAfterMs: (targets: readonly DirectTarget[]) => number };
  /** Requests that wait for a target. */
  readonly waiting: number;
  /** Whether the entry stops and takes only what it can finish in time. */
  readonly isStopping: boolean;
}

type ServiceExplanation = RouteExplanation['services'][number];

type Outcome = RouteExplanation['outcome'];

const NO_TARGET_REASONS = new Set(['no_target', 'not_formed']);

/** Worst last. */
const OUTCOMES: readonly Outcome[] = ['send', 'wait', 'refuse'];

/** The middle of the range from which a random term is drawn, in place of a draw. */
const MIDDLE: RandomSource = { next: () => 0.5 };

const EMPTY = {
  refusal: null,
  config: null,
  route: null,
  workspace: null,
  priority: null,
  services: [],
};

/**
 * Explains where an entry would send a request now, or why it would wait or be refused. Changes no
 * state. Prompts that are suspected to end targets are not considered.
 */
export function explainRoute(
  table: RouteTable | null,
  query: RouteQuery,
  state: EntryState,
): RouteExplanation {
  const { waiting, isStopping } = state;
  if (table === null) {
    return { ...EMPTY, ...refuse('not_ready', 'no configuration yet'), waiting };
  }
  const config = table.config.version;
  const [path = '/'] = query.path.split('?', 1);
  const route = table.findRoute(query.host.replace(/:\d+$/, '').toLowerCase(), path);
  if (route === undefined) {
    const refusal = refuse('unknown_service', 'no route for host and path');
    return { ...EMPTY, ...refusal, config, waiting };
  }
  const { name, kind, prefix } = route;
  const found = { ...EMPTY, config, route: { name, kind, prefix }, waiting };
  if (isStopping) {
    return { ...found, ...refuse('leaving', 'this entry is stopping; use another one') };
  }
  const isKeyed = table.hasWorkspaces() && !route.isPublic;
  const workspace = isKeyed ? findWorkspace(table, query) : null;
  if (workspace === undefined) {
    return { ...found, ...refuse('missing_workspace', 'a valid API key is required') };
  }
  const priority = workspace?.priority ?? route.priority;
  const services = listServices(table, route, priority, state);
  const worst = Math.max(...services.map(({ outcome }) => OUTCOMES.indexOf(outcome)));
  return {
    ...found,
    outcome: OUTCOMES[worst] ?? 'refuse',
    workspace: workspace?.name ?? null,
    priority,
    services,
  };
}

function refuse(kind: ErrorKind, message: string): Pick<RouteExplanation, 'outcome' | 'refusal'> {
  return { outcome: 'refuse', refusal: { kind, message } };
}

function findWorkspace(
  table: RouteTable,
  { apiKey, workspace }: RouteQuery,
): { readonly name: string; readonly priority: number | null } | undefined {
  if (apiKey !== null) return table.findWorkspace(apiKey);
  return table.config.workspaces?.find(({ name }) => name === workspace);
}

/** Lists the services that the route may choose. */
function listServices(
  table: RouteTable,
  route: DirectRoute,
  priority: number,
  state: EntryState,
): ServiceExplanation[] {
  let totalWeight = 0;
  for (const { weight } of route.services) totalWeight += weight;
  const services: ServiceExplanation[] = [];
  for (const { service: name, weight } of route.services) {
    if (weight === 0 && totalWeight > 0) continue;
    const share = totalWeight === 0 ? 1 : weight / totalWeight;
    const service = table.findService(name);
    const explained =
      service === undefined
        ? refuseUnknown(route)
        : explainService(route, service, table.rankPriority(name, priority), state);
    services.push({ name, share, ...explained });
    // Without weights the first service is used.
    if (totalWeight === 0) break;
  }
  return services;
}

function refuseUnknown(route: DirectRoute): Omit<ServiceExplanation, 'name' | 'share'> {
  return {
    outcome: 'refuse',
    reason: 'the service of the route is not configured',
    candidates: [],
    longestWaitMs: 0,
    expectedWaitMs: null,
    retryAfterMs: chooseRetryAfter(route, 'away', MIDDLE),
    targets: [],
  };
}

function explainService(
  route: DirectRoute,
  service: DirectService,
  urgencyRank: number,
  { picker, holds, limits }: EntryState,
): Omit<ServiceExplanation, 'name' | 'share'> {
  const targets = picker.check({
    service,
    excluded: new Set(),
    gapMs: route.gapMs,
    mayUseLimited: true,
    urgencyRank,
    isLate: false,
    hasWaited: false,
  });
  const pick = explainPick(targets);
  if (pick.candidates !== null) {
    return {
      outcome: 'send',
      reason: `least loaded of ${pick.candidates.length}`,
      candidates: pick.candidates.map(({ target }) => target.id),
      longestWaitMs: 0,
      expectedWaitMs: 0,
      retryAfterMs: null,
      targets,
    };
  }
  const { reason } = pick;
  const registered = targets.map(({ target }) => target);
  const backoffMs = holds.getBackoffMs(registered);
  const { maxWaitMs } = chooseStartWait(route, reason, 0, false, backoffMs ?? Infinity);
  const refused = { candidates: [], longestWaitMs: maxWaitMs, targets };
  if (maxWaitMs > 0) {
    return { ...refused, outcome: 'wait', reason, expectedWaitMs: backoffMs, retryAfterMs: null };
  }
  let retryAfterMs = backoffMs;
  if (reason === 'target_limited') retryAfterMs = limits.getRetryAfterMs(registered);
  retryAfterMs ??= chooseRetryAfter(route, NO_TARGET_REASONS.has(reason) ? 'away' : 'busy', MIDDLE);
  return { ...refused, outcome: 'refuse', reason, expectedWaitMs: null, retryAfterMs };
}
