import { runDaemon } from '@limpetbay/runtime';
import { EntrySettings } from './settings/EntrySettings.js';
import { startEntry } from './process/startEntry.js';

void runDaemon({
  name: 'limpetbay-entry',
  description:
    'the process that callers connect to: routes and retries requests, limits workspaces',
  schema: EntrySettings,
  start: startEntry,
});
