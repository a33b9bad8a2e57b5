import { signalActions } from './signalActions.js';

/*
 * Programs import this module before all others: their other modules take a while to load, and a
 * signal that only announces new settings must not end the process meanwhile.
 */
for (const [signal, action] of Object.entries(signalActions)) {
  if (action !== 'stop') process.on(signal, () => {});
}
