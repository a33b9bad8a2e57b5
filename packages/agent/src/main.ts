import '@limpetbay/runtime/ignoreEarlySignals';
import { IniFormat, runDaemon } from '@limpetbay/runtime';
import { AgentSettings } from './settings/AgentSettings.js';
import { liveAgentSettings } from './settings/liveAgentSettings.js';
import { startAgent } from './process/startAgent.js';

void runDaemon({
  name: 'limpetbay-agent',
  description: 'agent of a target: admission, slow start, at-most-once execution, step grants',
  format: new IniFormat(AgentSettings, liveAgentSettings),
  start: startAgent,
});
