import type { Clock } from '@limpetbay/core';
import type { EtcdStore, InstanceListClient } from '@limpetbay/platform';
import type { RelayClient } from '@limpetbay/rpc';
import type { CliSettings } from '../settings/CliSettings.js';

/** Settings, clients and output of a command that uses the store or the instance list. */
export interface CommandContext {
  readonly settings: CliSettings;
  readonly clock: Clock;
  readonly store: EtcdStore;
  readonly instanceList: InstanceListClient;
  readonly relays: RelayClient;
  /** Prints to the standard output. */
  print(text: string): void;
  /** Prints to the standard error output. */
  warn(text: string): void;
}
