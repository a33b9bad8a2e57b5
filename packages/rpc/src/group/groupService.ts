import { loadService } from '../channel/loadService.js';

/** The gRPC service for calls between the agents of a group. */
export const groupService = loadService('group.proto', 'Group');
