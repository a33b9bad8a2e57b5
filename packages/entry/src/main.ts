import '@limpetbay/runtime/ignoreEarlySignals';
import { IniFormat, runDaemon } from '@limpetbay/runtime';
import { EntrySettings } from './settings/EntrySettings.js';
import { liveEntrySettings } from './settings/liveEntrySettings.js';
import { startEntry } from './process/startEntry.js';

void runDaemon({
  name: 'limpetbay-entry',
  description:
    'the process that callers connect to: routes and retries requests, limits workspaces',
  format: new IniFormat(EntrySettings, liveEntrySettings),
  start: startEntry,
});
