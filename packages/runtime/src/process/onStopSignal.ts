/**
 * Runs `stop` on the first SIGTERM or SIGINT; later signals are ignored.
 *
 * @param stop performs the graceful shutdown; the process exits with status 0 when it resolves
 */
export function onStopSignal(stop: () => Promise<void>): void {
  let isStopping = false;
  const handleSignal = (): void => {
    if (isStopping) return;
    isStopping = true;
    void stop().then(() => process.exit(0));
  };
  process.on('SIGTERM', handleSignal);
  process.on('SIGINT', handleSignal);
}
