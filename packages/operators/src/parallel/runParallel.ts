/** Open connections at the same time; the file descriptors of an operator's shell are limited. */
const MAX_PARALLEL = 200;

/** Runs `run` for each item, a limited number at the same time. */
export async function runParallel<Item>(
  items: Iterable<Item>,
  run: (item: Item) => Promise<void>,
): Promise<void> {
  const queue = [...items];
  const drain = async (): Promise<void> => {
    for (let next = queue.shift(); next !== undefined; next = queue.shift()) await run(next);
  };
  await Promise.all(Array.from({ length: Math.min(MAX_PARALLEL, queue.length) }, drain));
}
