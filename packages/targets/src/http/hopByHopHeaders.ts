/** Headers that are not forwarded: those of one connection, and `date`, which each server sets. */
export const hopByHopHeaders: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'upgrade',
  'trailer',
  'te',
  'proxy-authenticate',
  'proxy-authorization',
  'date',
]);
