import { loadService } from '../channel/loadService.js';

/** The gRPC service that carries attempts from entries to agents. */
export const dispatchService = loadService('dispatch.proto', 'Dispatch');
