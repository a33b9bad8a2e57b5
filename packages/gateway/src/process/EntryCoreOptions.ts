import type { AnswerBudget, BodyBudget, RouteTable } from '@limpetbay/core';
import type { EntryNetwork } from '../ports/EntryNetwork.js';
import type { GatewayOptions } from './GatewayOptions.js';

/** Dependencies and settings of an `EntryCore`. */
export interface EntryCoreOptions extends Omit<GatewayOptions, 'binder'> {
  readonly network: EntryNetwork;
  /** Limits the memory of all bodies: those that arrive, wait or are not read. */
  readonly bodyBudget: BodyBudget;
  /** Limits the memory of the answers that callers have not taken. */
  readonly answerBudget: AnswerBudget;
  /** Called when another configuration becomes active. */
  readonly onConfig: (table: RouteTable) => void;
}
