import { connect } from 'node:net';
import { parseAddress } from '@limpetbay/core';
import type { ListenerState } from './ListenerState.js';

/**
 * Opens and closes a connection to find out whether a process still listens at an address.
 *
 * @param address `IP:PORT`
 * @param timeoutMs after which the state is `silent`, as it is for an address that is not valid
 */
export function checkListener(address: string, timeoutMs: number): Promise<ListenerState> {
  const parsed = parseAddress(address);
  if (parsed.err) return Promise.resolve('silent');
  return new Promise((resolve) => {
    const socket = connect(parsed.val);
    const finish = (state: ListenerState): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(state);
    };
    const timer = setTimeout(() => finish('silent'), timeoutMs);
    socket.once('connect', () => finish('listening'));
    socket.on('error', (error: NodeJS.ErrnoException) =>
      finish(error.code === 'ECONNREFUSED' ? 'refused' : 'silent'),
    );
  });
}
