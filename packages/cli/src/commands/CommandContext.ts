import type { Clock } from '@limpetbay/core';
import type { EtcdStore, InstanceListClient } from '@limpetbay/platform';
import type { RelayClient } from '@limpetbay/rpc';
import type { CliSettings } from '../settings/CliSettings.js';

/** What a command that reaches the platform works with. */
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
