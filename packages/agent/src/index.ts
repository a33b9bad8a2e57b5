export { AnswerWriter } from './attempt/AnswerWriter.js';
export { AttemptRun } from './attempt/AttemptRun.js';
export { Agent } from './loop/Agent.js';
export type { AgentEvent } from './loop/AgentEvent.js';
export type { AgentParts } from './loop/AgentParts.js';
export { EngineMonitor } from './loop/EngineMonitor.js';
export { startAgent } from './process/startAgent.js';
export { AgentSettings } from './settings/AgentSettings.js';
