import type { RouteTable } from '@limpetbay/core';
import type { EntryNetwork } from '../ports/EntryNetwork.js';
import type { GatewayOptions } from './GatewayOptions.js';

/** Dependencies and settings of an `EntryCore`. */
export interface EntryCoreOptions extends GatewayOptions {
  readonly network: EntryNetwork;
  /** Called when another configuration becomes active. */
  readonly onConfig: (table: RouteTable) => void;
}
