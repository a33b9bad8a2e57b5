import type { SignalAction } from './SignalAction.js';

/**
 * What each signal does, for all programs that run until they are stopped. Signals that are not
 * listed keep the default of Node.js: those that report a fault of the program end it, those of a
 * terminal suspend it, and SIGPROF belongs to the profiler.
 */
export const signalActions: Readonly<Partial<Record<NodeJS.Signals, SignalAction>>> = {
  SIGTERM: 'stop',
  SIGINT: 'stop',
  SIGQUIT: 'stop',
  SIGHUP: 'reload',
  // By default Node.js opens its debugger on SIGUSR1, and the others end the process. SIGPIPE is
  // not among them: Node.js ignores it, and a listener would run for each broken connection.
  SIGUSR1: 'ignore',
  SIGUSR2: 'ignore',
  SIGALRM: 'ignore',
  SIGVTALRM: 'ignore',
  SIGIO: 'ignore',
  SIGPWR: 'ignore',
  SIGSTKFLT: 'ignore',
  SIGXCPU: 'ignore',
};
