import { connect } from 'node:net';
import { splitAddress } from '@limpetbay/core';
import type { ListenerState } from './ListenerState.js';

/**
 * Opens and closes a connection to find out whether a process still listens at an address.
 *
 * @param address `IP:PORT`
 * @param timeoutMs after which the state is `silent`
 */
export function checkListener(address: string, timeoutMs: number): Promise<ListenerState> {
  return new Promise((resolve) => {
    const socket = connect(splitAddress(address));
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
