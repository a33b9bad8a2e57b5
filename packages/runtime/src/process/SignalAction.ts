/** What a program does when it receives a signal. */
export type SignalAction = 'stop' | 'reload' | 'ignore';
