export { MemoryStore } from './store/MemoryStore.js';
export type { MemoryStoreCounts } from './store/MemoryStoreCounts.js';
export type { MemoryStoreFaults } from './store/MemoryStoreFaults.js';
