import '@limpetbay/runtime/ignoreEarlySignals';

// An ES module runs only once all of its static imports are loaded, which would be too late for
// the module above.
const [{ IniFormat, runDaemon }, { EntrySettings }, { liveEntrySettings }, { startEntry }] =
  await Promise.all([
    import('@limpetbay/runtime'),
    import('./settings/EntrySettings.js'),
    import('./settings/liveEntrySettings.js'),
    import('./process/startEntry.js'),
  ]);

await runDaemon({
  name: 'limpetbay-entry',
  description:
    'the process that callers connect to: routes and retries requests, limits workspaces',
  format: new IniFormat(EntrySettings, liveEntrySettings),
  start: startEntry,
});
