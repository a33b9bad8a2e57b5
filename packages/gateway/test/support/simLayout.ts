import { DirectConfig, DirectTarget, Ok } from '@limpetbay/core';
import type { RecordLayout } from '../../src/index.js';

/** Keys of the records in the store of a simulated fleet; values are JSON. */
export const simLayout: RecordLayout = {
  configKey: 'config',
  evacuationPrefix: 'evacuated/',
  targetPrefix: 'targets/',
  entryPrefix: 'entries/',
  suspectPrefix: 'prompts/',
  limitPrefix: 'limits/',
  decodeConfig: (value) => Ok(DirectConfig.parse(JSON.parse(value))),
  decodeTarget: (_id, value) => Ok(DirectTarget.parse(JSON.parse(value))),
};
