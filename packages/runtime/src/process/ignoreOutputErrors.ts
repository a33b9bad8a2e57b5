/** Keeps a failed write to standard output or error, such as to a closed pipe, from ending the process. */
export function ignoreOutputErrors(): void {
  for (const stream of [process.stdout, process.stderr]) stream.on('error', () => {});
}
