/** Maximum number of concurrent runs; each opens a connection, and a shell limits file descriptors. */
const MAX_CONCURRENT_RUNS = 200;

/** Calls `run` for each item with limited concurrency and resolves when all calls have resolved. */
export async function runParallel<Item>(
  items: Iterable<Item>,
  run: (item: Item) => Promise<void>,
): Promise<void> {
  const queue = [...items];
  const drainQueue = async (): Promise<void> => {
    for (let next = queue.shift(); next !== undefined; next = queue.shift()) await run(next);
  };
  await Promise.all(
    Array.from({ length: Math.min(MAX_CONCURRENT_RUNS, queue.length) }, drainQueue),
  );
}
