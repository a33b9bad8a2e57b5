import { runDaemon } from '@limpetbay/runtime';
import { AgentSettings } from './settings/AgentSettings.js';
import { startAgent } from './process/startAgent.js';

void runDaemon({
  name: 'limpetbay-agent',
  description: 'the process beside a target: admission, ramp, at-most-once, step grants',
  schema: AgentSettings,
  start: startAgent,
});
