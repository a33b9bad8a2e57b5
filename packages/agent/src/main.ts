import '@limpetbay/runtime/ignoreEarlySignals';

// An ES module runs only once all of its static imports are loaded, which would be too late for
// the module above.
const [{ IniFormat, runDaemon }, { AgentSettings }, { liveAgentSettings }, { startAgent }] =
  await Promise.all([
    import('@limpetbay/runtime'),
    import('./settings/AgentSettings.js'),
    import('./settings/liveAgentSettings.js'),
    import('./process/startAgent.js'),
  ]);

await runDaemon({
  name: 'limpetbay-agent',
  description: 'agent of a target: admission, slow start, at-most-once execution, step grants',
  format: new IniFormat(AgentSettings, liveAgentSettings),
  start: startAgent,
});
