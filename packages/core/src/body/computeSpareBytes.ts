/** Memory of the program outside of its heap, with buffers that are not collected yet, bytes. */
const PROGRAM_BYTES = 33_554_432;

/** Heap of an entry in the deploy file with its young generation, bytes. */
const DEFAULT_HEAP_BYTES = 150_994_944;

/**
 * Computes the memory that a process has beyond its program and its heap. A heap limit that the memory
 * limit cannot hold is that of a process whose heap nobody has limited; it does not grow that far.
 *
 * @param memoryLimitBytes limit of the whole process
 * @param heapLimitBytes limit of the heap with its young generation
 * @returns bytes, 0 or more
 */
export function computeSpareBytes(
  memoryLimitBytes: number,
  heapLimitBytes = DEFAULT_HEAP_BYTES,
): number {
  const isBounded = heapLimitBytes + PROGRAM_BYTES < memoryLimitBytes;
  const heapBytes = isBounded ? heapLimitBytes : DEFAULT_HEAP_BYTES;
  return Math.max(0, memoryLimitBytes - PROGRAM_BYTES - heapBytes);
}
