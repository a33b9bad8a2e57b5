const HIGHEST_BYTE = 0xff;

/** Returns the `range_end` that selects all keys with this prefix in a request of the etcd API. */
export function getPrefixEnd(prefix: string): Buffer {
  const end = Buffer.from(prefix);
  for (let index = end.length - 1; index >= 0; index -= 1) {
    const byte = end[index] as number;
    if (byte < HIGHEST_BYTE) {
      end[index] = byte + 1;
      return end.subarray(0, index + 1);
    }
  }
  return Buffer.from([0]);
}
