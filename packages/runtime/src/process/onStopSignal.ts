/**
 * Runs `stop` once on the first SIGTERM or SIGINT.
 *
 * @param stop starts the graceful shutdown; the process exits with 0 when it resolves
 */
export function onStopSignal(stop: () => Promise<void>): void {
  let stopping = false;
  const handle = (): void => {
    if (stopping) return;
    stopping = true;
    void stop().then(() => process.exit(0));
  };
  process.on('SIGTERM', handle);
  process.on('SIGINT', handle);
}
