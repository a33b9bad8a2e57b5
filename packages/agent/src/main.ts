import { runDaemon } from '@limpetbay/runtime';
import { AgentSettings } from './settings/AgentSettings.js';
import { startAgent } from './process/startAgent.js';

void runDaemon({
  name: 'limpetbay-agent',
  description: 'agent of a target: admission, slow start, at-most-once execution, step grants',
  schema: AgentSettings,
  start: startAgent,
});
