import type { Clock, LoadReport, RandomSource, RouteDecision, RouteTarget } from '@limpetbay/core';
import { InstanceId, Router, ServiceName, Workspace } from '@limpetbay/core';
import type { ModelRequest } from './ModelRequest.js';
import type { RoutingPolicy } from './RoutingPolicy.js';

const service = ServiceName.parse('canerota');
const workspace = Workspace.parse('estate');
const NONE_TRIED = new Set<never>();

/** Parts of a prompt that have a hash each. */
const BLOCKS = 8;

/** Lists one hash per block of the prompt; the blocks of a shared prefix have equal hashes. */
function listHashes({ id, prefix, prefixTokens, promptTokens }: ModelRequest): string[] {
  const hashes: string[] = [];
  for (let block = 1; block <= BLOCKS; block += 1) {
    const isShared = (block * promptTokens) / BLOCKS <= prefixTokens;
    hashes.push(isShared ? `${prefix}/${block}` : `${id}/${block}`);
  }
  return hashes;
}

/** The router of the entry. */
export class RouterPolicy implements RoutingPolicy {
  readonly #router: Router;

  readonly #indexes = new Map<string, number>();

  readonly #decisions = new Map<ModelRequest, RouteDecision>();

  constructor(
    entry: number,
    entries: number,
    targets: readonly RouteTarget[],
    clock: Clock,
    random: RandomSource,
  ) {
    const ids: InstanceId[] = [];
    for (let index = 0; index < entries; index += 1) ids.push(InstanceId.parse(`entry-${index}`));
    this.#router = new Router({ entry: ids[entry]!, zone: null, clock, random });
    this.#router.setEntries(ids);
    this.#router.updateTargets(service, targets);
    for (const [index, target] of targets.entries()) this.#indexes.set(target.id, index);
  }

  pick(request: ModelRequest): number {
    const { promptTokens, maxTokens } = request;
    const prefixHashes = listHashes(request);
    const decision = this.#router
      .pick({
        service,
        workspace,
        priority: 'normal',
        promptTokens,
        maxTokens,
        prefixHashes,
        deadlineMs: 30_000,
        repeatable: true,
        tried: NONE_TRIED,
      })
      .unwrap();
    this.#router.recordSend(decision, { promptTokens, maxTokens, prefixHashes });
    this.#decisions.set(request, decision);
    return this.#indexes.get(decision.target)!;
  }

  finish(request: ModelRequest): void {
    const decision = this.#decisions.get(request);
    if (decision !== undefined) this.#router.recordFinish(decision, 'complete');
    this.#decisions.delete(request);
  }

  acceptLoad(report: LoadReport): void {
    this.#router.handleLoad(report);
  }
}
