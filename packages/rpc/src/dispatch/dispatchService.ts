import { loadService } from '../channel/loadService.js';

/** The gRPC service by which entries send attempts to agents. */
export const dispatchService = loadService('dispatch.proto', 'Dispatch');
