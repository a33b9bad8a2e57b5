import type { DirectConfig, DirectTarget, Failure, Result } from '@limpetbay/core';

/** Keys and key prefixes of the records in the store, and their decoders. */
export interface RecordLayout {
  readonly configKey: string;
  readonly evacuationPrefix: string;
  readonly targetPrefix: string;
  readonly entryPrefix: string;
  readonly suspectPrefix: string;
  readonly limitPrefix: string;
  readonly decodeConfig: (value: string) => Result<DirectConfig, Failure>;
  readonly decodeTarget: (id: string, value: string) => Result<DirectTarget, Failure>;
}
