export { EngineGroup } from './engine/EngineGroup.js';
export { EngineRank } from './engine/EngineRank.js';
export { Generation } from './engine/Generation.js';
export { createWord } from './engine/createWord.js';
export { readJson } from './http/readJson.js';
export { sendJson } from './http/sendJson.js';
export { PlainService } from './service/PlainService.js';
