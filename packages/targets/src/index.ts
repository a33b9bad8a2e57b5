export { EngineClient } from './engine/EngineClient.js';
export { EngineLoad } from './engine/EngineLoad.js';
export { HttpTarget } from './http/HttpTarget.js';
export type { Target } from './http/Target.js';
export type { TargetCall } from './http/TargetCall.js';
export type { TargetListener } from './http/TargetListener.js';
export { isNeverSent } from './http/isNeverSent.js';
export { listHeaders } from './http/listHeaders.js';
