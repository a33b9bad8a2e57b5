import type { EngineModel } from './EngineModel.js';
import type { RequestHead } from './RequestHead.js';
import type { WorkEstimate } from './WorkEstimate.js';
import { computeWork } from './computeWork.js';

type SizedHead = Pick<RequestHead, 'promptTokens' | 'answerTokens' | 'lengthHint'>;

type Basis = WorkEstimate['basis'];

type InvalidField = WorkEstimate['invalid'][number];

/** Sums over recent answers, in tokens; older answers weigh less. */
interface LengthSums {
  actual: number;
  stated: number;
  answers: number;
}

/** Answers after which the correction has moved most of the way to a new ratio. */
const MEMORY_ANSWERS = 32;

/** Answers of a workspace that weigh as much as the ratio of the other workspaces. */
const PRIOR_ANSWERS = 4;

/** Workspaces for which answers are remembered; those that were seen last. */
const MAX_WORKSPACES = 1024;

/** Estimates the work of the requests of one service, and learns answer lengths from its answers. */
export class WorkEstimator {
  readonly #workspaces = new Map<string, Map<Basis, LengthSums>>();

  /** Median of the ratios of the workspaces: one with false lengths does not change the others'. */
  readonly #usualRatios = new Map<Basis, number>();

  /**
   * @param head of the request; values out of range are ignored or limited
   * @param engine null for plain services, whose requests all cost the same
   */
  estimate(head: SizedHead, engine: EngineModel | null, workspace: string): WorkEstimate {
    if (engine === null) {
      const none = { promptTokens: 0, answerTokens: 0, statedTokens: 0 };
      return { workMs: 1, kvTokens: 0, workspace, basis: 'usual', invalid: [], ...none };
    }
    const invalid: InvalidField[] = [];
    const promptTokens = clampPrompt(head.promptTokens, engine, invalid);
    const { basis, statedTokens } = chooseBasis(head, engine, invalid);
    const expectedTokens = statedTokens * this.#getRatio(workspace, basis, statedTokens);
    const answerTokens = Math.min(engine.kvCapacity, Math.max(engine.stride, expectedTokens));
    const work = computeWork(promptTokens, answerTokens, engine);
    return { ...work, workspace, promptTokens, answerTokens, basis, statedTokens, invalid };
  }

  /**
   * Records the length of a complete answer.
   *
   * @param events events of the stream, each with the tokens of one pass
   */
  recordAnswer(
    { workspace, basis, statedTokens }: WorkEstimate,
    events: number,
    engine: EngineModel,
  ): void {
    const sums = this.#touch(workspace, basis);
    const kept = 1 - 1 / MEMORY_ANSWERS;
    sums.actual = sums.actual * kept + events * engine.stride;
    sums.stated = sums.stated * kept + statedTokens;
    sums.answers = sums.answers * kept + 1;
    this.#usualRatios.set(basis, this.#computeUsualRatio(basis));
  }

  #touch(workspace: string, basis: Basis): LengthSums {
    const bases = this.#workspaces.get(workspace) ?? new Map<Basis, LengthSums>();
    // Inserted again, so that the map is in the order of use.
    this.#workspaces.delete(workspace);
    this.#workspaces.set(workspace, bases);
    if (this.#workspaces.size > MAX_WORKSPACES) {
      const [oldest] = this.#workspaces.keys();
      if (oldest !== undefined) this.#workspaces.delete(oldest);
    }
    let sums = bases.get(basis);
    if (sums === undefined) {
      sums = { actual: 0, stated: 0, answers: 0 };
      bases.set(basis, sums);
    }
    return sums;
  }

  #getRatio(workspace: string, basis: Basis, statedTokens: number): number {
    const usualRatio = this.#usualRatios.get(basis) ?? 1;
    const sums = this.#workspaces.get(workspace)?.get(basis);
    return sums === undefined ? usualRatio : smoothRatio(sums, usualRatio, statedTokens);
  }

  #computeUsualRatio(basis: Basis): number {
    const ratios: number[] = [];
    for (const bases of this.#workspaces.values()) {
      const sums = bases.get(basis);
      if (sums !== undefined) ratios.push(smoothRatio(sums, 1, sums.stated / sums.answers));
    }
    ratios.sort((a, b) => a - b);
    const middle = (ratios.length - 1) / 2;
    const low = ratios[Math.floor(middle)] ?? 1;
    const high = ratios[Math.ceil(middle)] ?? 1;
    return (low + high) / 2;
  }
}

/** Returns actual / stated length, drawn towards a prior ratio while few answers are known. */
function smoothRatio(sums: LengthSums, priorRatio: number, statedTokens: number): number {
  const priorTokens = PRIOR_ANSWERS * statedTokens;
  return (sums.actual + priorRatio * priorTokens) / (sums.stated + priorTokens);
}

/** Clamps the prompt to what a rank can hold; 0 stands for a length that is not stated. */
function clampPrompt(tokens: number, engine: EngineModel, invalid: InvalidField[]): number {
  if (tokens === 0) return engine.usualPromptTokens;
  if (tokens > 0 && tokens <= engine.kvCapacity) return tokens;
  invalid.push('prompt_tokens');
  return tokens > 0 ? engine.kvCapacity : engine.usualPromptTokens;
}

/** Chooses the best known length of the answer: the hint, else the limit, else the usual length. */
function chooseBasis(
  { answerTokens, lengthHint }: SizedHead,
  { kvCapacity, usualAnswerTokens, stride }: EngineModel,
  invalid: InvalidField[],
): Pick<WorkEstimate, 'basis' | 'statedTokens'> {
  const isLimitValid = answerTokens >= 0 && answerTokens <= kvCapacity;
  if (!isLimitValid) invalid.push('answer_tokens');
  const hasLimit = isLimitValid && answerTokens > 0;
  const isHintValid = lengthHint !== null && lengthHint > 0 && lengthHint <= kvCapacity;
  if (lengthHint !== null && !isHintValid) invalid.push('length_hint');
  if (isHintValid) {
    return {
      basis: 'hint',
      statedTokens: Math.min(lengthHint, hasLimit ? answerTokens : Infinity),
    };
  }
  if (hasLimit) return { basis: 'limit', statedTokens: answerTokens };
  return { basis: 'usual', statedTokens: Math.max(stride, usualAnswerTokens) };
}
