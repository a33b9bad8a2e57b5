import { runDaemon } from '@limpetbay/runtime';
import { EntrySettings } from './settings/EntrySettings.js';
import { startEntry } from './process/startEntry.js';

void runDaemon({
  name: 'limpetbay-entry',
  description: 'the process that callers connect to: routing, retries, early limits',
  schema: EntrySettings,
  start: startEntry,
});
