export { RealClock } from './clock/RealClock.js';
export type { Log } from './log/Log.js';
export { createLog } from './log/createLog.js';
export { formatFields } from './log/formatFields.js';
export { MetricRegistry } from './metrics/MetricRegistry.js';
export { onStopSignal } from './process/onStopSignal.js';
export { describeIssue } from './settings/describeIssue.js';
export { readSettings } from './settings/readSettings.js';
