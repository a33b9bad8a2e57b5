import type { ChildProcess } from 'node:child_process';

/** One entry or agent: its addresses, settings file and current process. */
export interface Instance {
  readonly role: 'entry' | 'agent';
  readonly name: string;
  readonly host: string;
  /** Ports by use; all instances have the same ones, each at an address of its own. */
  readonly ports: Readonly<Record<'front' | 'ready' | 'directory' | 'metrics' | 'peer', number>>;
  readonly settingsFile: string;
  readonly logFile: string;
  /** Limit of the resident memory, bytes. */
  readonly memoryBytes: number;
  child: ChildProcess | null;
  /** Ends of the current process that the runner asked for. */
  readonly orders: Set<'stop' | 'kill'>;
  /** Signals that the current process got before it could handle them. */
  readonly earlySignals: Set<NodeJS.Signals>;
  /** Number of faults that keep the process from serving, such as a held address. */
  obstacles: number;
  /** Called once before the next start of the process; then it is empty again. */
  beforeStart: (() => Promise<void>) | null;
  /** Delay between the end of the process and its next start, milliseconds. */
  restartMs: number;
  /** From when on the process has to serve, steady clock in milliseconds; null once it does. */
  mustServeFromMs: number | null;
  /** Peak of the resident memory of all its processes, bytes. */
  peakBytes: number;
}
