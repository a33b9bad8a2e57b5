import type { DirectConfig, DirectTarget, Failure, Result } from '@limpetbay/core';

/** Where the records of the system lie in the store and how they are decoded. */
export interface RecordLayout {
  readonly configKey: string;
  readonly evacuationPrefix: string;
  readonly targetPrefix: string;
  readonly entryPrefix: string;
  readonly decodeConfig: (value: string) => Result<DirectConfig, Failure>;
  readonly decodeTarget: (id: string, value: string) => Result<DirectTarget, Failure>;
}
